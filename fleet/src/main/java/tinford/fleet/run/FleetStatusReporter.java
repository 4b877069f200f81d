package tinford.fleet.run;

import java.lang.System.Logger.Level;
import tinford.fleet.membership.GossipMembership;
import tinford.fleet.overload.FleetOverloadPolicy;

/** Writes changes of the fleet's status, as this process sees it, into the log and the history. */
final class FleetStatusReporter {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");

    private final GossipMembership membership;
    private final ReplicatedState replicatedState;
    private final FleetOverloadPolicy overload;
    private final HistoryWriter history;
    private int aliveCount = -1;
    private boolean isLeader;
    private boolean hasLease;
    private int totalConnectionLimit = -1;
    private boolean isOverloaded;

    /**
     * @param replicatedState null where there is none
     * @param overload null where it is off
     */
    FleetStatusReporter(
            GossipMembership membership,
            ReplicatedState replicatedState,
            FleetOverloadPolicy overload,
            HistoryWriter history) {
        this.membership = membership;
        this.replicatedState = replicatedState;
        this.overload = overload;
        this.history = history;
    }

    /** Writes that this process begins without a lease. */
    void start(double nowMs) {
        if (replicatedState != null) {
            history.add(nowMs, "term", "holds", false);
        }
    }

    /** Writes what has changed since the last call. */
    void update(double nowMs) {
        reportMembership(nowMs);
        if (replicatedState != null) {
            reportLeadership(nowMs);
            reportLease(nowMs);
            reportConnectionLimit(nowMs);
        }
        reportOverload(nowMs);
    }

    private void reportMembership(double nowMs) {
        if (membership.aliveCount() != aliveCount) {
            aliveCount = membership.aliveCount();
            LOG.log(Level.INFO, "live gateways changed gateways=" + membership.aliveGateways());
            history.add(nowMs, "living", "who", membership.aliveGateways());
        }
    }

    private void reportLeadership(double nowMs) {
        if (replicatedState.isLeader() != isLeader) {
            isLeader = replicatedState.isLeader();
            history.add(nowMs, "leads", "on", isLeader);
        }
    }

    private void reportLease(double nowMs) {
        if (replicatedState.budgets.hasLease(nowMs) != hasLease) {
            hasLease = !hasLease;
            LOG.log(
                    Level.INFO,
                    hasLease ? "lease acquired" : "lease lost, using the static share only");
            history.add(nowMs, "term", "holds", hasLease);
        }
    }

    private void reportConnectionLimit(double nowMs) {
        int limit = replicatedState.budgets.totalConnectionLimit(nowMs);
        if (limit != totalConnectionLimit) {
            totalConnectionLimit = limit;
            history.add(nowMs, "grant", "all", limit);
        }
    }

    private void reportOverload(double nowMs) {
        boolean overloaded = overload != null && overload.threshold() > 0;
        if (overloaded == isOverloaded) {
            return;
        }
        isOverloaded = overloaded;
        history.add(nowMs, "strained", "on", overloaded);
        LOG.log(
                Level.INFO,
                overloaded
                        ? "fleet overload started: shedding load below threshold="
                                + overload.threshold()
                        : "fleet overload ended");
        history.add(
                nowMs, "line", "worth", overload.threshold(), "part", overload.shareAtThreshold());
    }
}
