package tinford.decision;

import java.util.List;
import tinford.api.Server;
import tinford.api.SlowStartRules;

/**
 * Limits the attempts at servers that are warming up. Each successful response of a warm server
 * adds a fraction of an attempt to the credit of each warming server, which gets an attempt once
 * its credit reaches a whole one.
 */
final class SlowStart {
    /**
     * Share of the overload multiple that is used. The margin is needed because the slowest servers
     * have half of the mean capacity and requests differ in size.
     */
    private static final double CAPACITY_MARGIN = 0.3;

    /** Maximum number of attempts that a server can accumulate. */
    private static final double MAX_CREDIT = 1;

    private final SlowStartRules rules;

    SlowStart(SlowStartRules rules) {
        this.rules = rules;
    }

    boolean isWarmingUp(Server server, double nowMs) {
        return server.startedAtMs() > 0 && nowMs - server.startedAtMs() < rules.warmUpMs();
    }

    /**
     * Adds credit to every server that is warming up, for one response of a warm server.
     *
     * @param ranked number of servers that are up, warming ones included
     */
    void grantCredit(List<ServerStats> warmingUp, int rankedCount, double nowMs) {
        int warmCount =
                rankedCount > warmingUp.size()
                        ? rankedCount - warmingUp.size()
                        : Math.max(1, rankedCount);
        for (ServerStats server : warmingUp) {
            server.slowStartCredit =
                    Math.min(
                            MAX_CREDIT,
                            server.slowStartCredit
                                    + trafficShare(server.server, nowMs) / warmCount);
        }
    }

    /**
     * Returns the traffic that the server may get as a share of that of a warm server. It stays
     * below the multiple of its capacity at which a server fails.
     */
    private double trafficShare(Server server, double nowMs) {
        double age = Math.max(0, nowMs - server.startedAtMs()) / rules.warmUpMs();
        return CAPACITY_MARGIN
                * rules.overloadMultiple()
                * (age + (1 - age) * rules.initialCapacityShare());
    }
}
