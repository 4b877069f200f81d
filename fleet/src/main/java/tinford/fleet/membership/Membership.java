package tinford.fleet.membership;

import java.util.List;

/** The fleet as one gateway knows it by gossip, including itself. */
public interface Membership {
    /** Number of gateways that are alive: itself, and those not suspected. */
    int aliveCount();

    /** Whether the gateway of that number is alive; itself always. */
    boolean isAlive(int gateway);

    /** The numbers of the gateways that are alive, ascending. */
    List<Integer> aliveGateways();

    /**
     * The records that are recent enough to count, by gateway. In a large fleet they are a sample:
     * the sum over the fleet is their mean times {@link #aliveCount}.
     */
    List<GossipRecord> freshRecords();

    /** Number of gateways that the settings name, alive or not. */
    int fleetSize();
}
