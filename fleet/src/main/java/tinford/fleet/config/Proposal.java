package tinford.fleet.config;

/** A change of the configuration that an operator proposes to the control servers. */
public sealed interface Proposal permits ChangeSet, Revert {
    /**
     * Chosen by the proposer; the same proposal sent again with the same id has the outcome of the
     * first.
     */
    String id();
}
