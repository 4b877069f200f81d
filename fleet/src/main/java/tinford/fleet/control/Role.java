package tinford.fleet.control;

/** The role of a control server in the quorum. */
public enum Role {
    /** A member of the replicated log. */
    VOTER,
    /** Follows a voter and serves the same configuration. */
    REPLICA
}
