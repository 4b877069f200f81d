package tinford.fleet.config;

/** A change to the configuration that an operator proposes to the control servers. */
public sealed interface Proposal permits ChangeSet, Revert {
    /**
     * The id of the proposal, chosen by the proposer. If the same proposal is sent again with the
     * same id, it is not applied again and gets the outcome of the first one.
     */
    String id();
}
