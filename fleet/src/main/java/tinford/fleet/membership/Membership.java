package tinford.fleet.membership;

import java.util.List;

/** One gateway's view of the fleet, itself included. */
public interface Membership {
    /**
     * Number of gateways that are alive: this one and those it does not suspect of having failed.
     */
    int aliveCount();

    /** Whether a gateway is considered alive; always true for this gateway. */
    boolean isAlive(int gateway);

    /** The numbers of the gateways that are alive, in ascending order. */
    List<Integer> aliveGateways();

    /**
     * The records that are recent enough to be used, in the order of gateway numbers. In a large
     * fleet they cover only part of the gateways; estimate a total over the fleet as their mean
     * times {@link #aliveCount}.
     */
    List<GossipRecord> freshRecords();

    /** Number of configured gateways, alive or not. */
    int fleetSize();
}
