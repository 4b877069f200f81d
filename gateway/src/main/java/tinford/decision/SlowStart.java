package tinford.decision;

import java.util.List;
import tinford.api.Server;
import tinford.api.SlowStartRules;

/**
 * Bounds what servers that are warming up are sent. Each earns a part of an attempt with each good
 * answer of a warm server, and is sent one when a whole attempt has been earned.
 */
final class SlowStart {
    /**
     * Part of the rule's multiple that is used: the slowest servers do half of the mean, and work
     * is uneven.
     */
    private static final double CAPACITY_MARGIN = 0.3;

    /** At most one attempt is saved up. */
    private static final double MAX_CREDIT = 1;

    private final SlowStartRules rules;

    SlowStart(SlowStartRules rules) {
        this.rules = rules;
    }

    boolean isWarmingUp(Server server, double nowMs) {
        return server.startedAtMs() > 0 && nowMs - server.startedAtMs() < rules.warmUpMs();
    }

    /**
     * Credits every server that is warming up for one answer of a warm one.
     *
     * @param ranked how many servers are up, warming ones included
     */
    void earn(List<ServerStats> warmingUp, int ranked, double nowMs) {
        int warm = ranked > warmingUp.size() ? ranked - warmingUp.size() : Math.max(1, ranked);
        for (ServerStats server : warmingUp) {
            server.slowStartCredit =
                    Math.min(
                            MAX_CREDIT,
                            server.slowStartCredit + share(server.server, nowMs) / warm);
        }
    }

    /**
     * What the server may be sent, as a part of what a warm one gets; stays under the rule's
     * multiple.
     */
    private double share(Server server, double nowMs) {
        double age = Math.max(0, nowMs - server.startedAtMs()) / rules.warmUpMs();
        return CAPACITY_MARGIN
                * rules.overloadMultiple()
                * (age + (1 - age) * rules.initialCapacityShare());
    }
}
