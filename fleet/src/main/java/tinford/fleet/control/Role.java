package tinford.fleet.control;

/** What part a control server takes in the quorum. */
public enum Role {
    /** A member of the replicated log. */
    VOTER,
    /** Follows a voter and serves what it holds. */
    REPLICA
}
