package tinford.fleet.membership;

import java.util.List;

/** The fleet as one gateway knows it from the gossip records that it received, its own included. */
public interface Membership {
    /**
     * How many live, as far as heard: itself, and those heard within the time after which a gateway
     * is suspected.
     */
    int aliveCount();

    /** By number; itself always. */
    boolean isAlive(int gateway);

    /** Their numbers, rising. */
    List<Integer> aliveGateways();

    /**
     * The records of those that live and that are fresh enough to count, by number. Over many
     * gateways a sample: the sum over the fleet is the mean of these times {@link #aliveCount}.
     */
    List<GossipRecord> freshRecords();

    /** How many gateways the fleet has by its settings, living or not. */
    int fleetSize();
}
