package tinford.decision;

import java.util.ArrayList;
import java.util.List;
import tinford.api.DecisionState;
import tinford.api.FleetPolicy;
import tinford.api.Server;

/**
 * What this gateway knows of one server, and what it has running there. Latency is relative to the
 * class's objective.
 */
final class ServerStats implements DecisionState {
    private static final double MAX_RELATIVE_LATENCY = 2;
    private static final double INITIAL_MEAN_LATENCY = 0.2;

    /** Weight of one answer in the ratio to the fleet. */
    private static final double RATIO_GAIN = 0.1;

    private static final double MAX_RATIO = 4;

    /** Answers that the fleet's latency counts for in the mean of one server. */
    private static final double PRIOR_ANSWERS = 4;

    /** How far a server's place in the order is drawn apart at each gateway. */
    private static final double ORDER_SPREAD = 0.8;

    private static final double FIRST_EJECTION_MS = 250;
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    final Server server;
    final RollingSum answers = new RollingSum();
    final RollingSum failures = new RollingSum();
    final RollingSum latencySum = new RollingSum();
    final List<Attempt> running = new ArrayList<>();
    final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

    /** Sends at most one attempt at a time to a server with far more failures than the others. */
    boolean outlier;

    double ejectedUntilMs;

    /** Attempts that the server refused or could not be reached for, since its last success. */
    int consecutiveRefusals;

    /** Parts of an attempt that a server that is warming up has earned. */
    double slowStartCredit;

    double meanLatency = INITIAL_MEAN_LATENCY;

    /** Answers within the last seconds, as of the last {@link #updateTotals}. */
    double recentAnswers;

    /** Sum of their relative latencies. */
    double recentLatencySum;

    /** Place in the order of servers: the lowest goes first. */
    double rank;

    private double latencyRatioToFleet = 1;
    private double knownStartMs;

    /** Drawn once, so that gateways prefer different servers and each keeps few connections. */
    private final double orderDraw;

    /**
     * @param orderDraw evenly from 0 to 1
     */
    ServerStats(Server server, double orderDraw) {
        this.server = server;
        this.orderDraw = orderDraw;
    }

    static ServerStats of(Server server) {
        return (ServerStats) server.decisionState();
    }

    /** Leaves the server alone for a while, ever longer until it succeeds. */
    void eject(double nowMs) {
        int doublings = Math.min(MAX_EJECTION_DOUBLINGS, consecutiveRefusals++);
        ejectedUntilMs = nowMs + FIRST_EJECTION_MS * (1 << doublings);
    }

    /**
     * A server that was ejected is tried again by the gateway of the fleet that owns its probing.
     */
    boolean mayBeTried(double nowMs, FleetPolicy policy) {
        return nowMs >= ejectedUntilMs
                && (!outlier || running.isEmpty())
                && (!outlier && consecutiveRefusals == 0 || policy.ownsProbing(server));
    }

    /** Whether the server was started again since this was last asked. */
    boolean hasRestarted() {
        if (knownStartMs == server.startedAtMs()) {
            return false;
        }
        knownStartMs = server.startedAtMs();
        return true;
    }

    /** Forgets refusals of the process before; what it had earned is drawn anew. */
    void reset(double credit) {
        slowStartCredit = credit;
        consecutiveRefusals = 0;
        ejectedUntilMs = 0;
    }

    void recordAnswer(double nowMs, double latency, double fleetLatency, boolean failure) {
        answers.add(nowMs, 1);
        latencySum.add(nowMs, Math.min(latency, MAX_RELATIVE_LATENCY));
        latencyRatioToFleet +=
                RATIO_GAIN * (Math.min(MAX_RATIO, latency / fleetLatency) - latencyRatioToFleet);
        if (failure) {
            failures.add(nowMs, 1);
        }
    }

    /** Takes the sums over its recent answers anew. */
    void updateTotals(double nowMs) {
        recentAnswers = answers.total(nowMs);
        recentLatencySum = latencySum.total(nowMs);
    }

    /**
     * Takes the mean latency anew from the totals. Attempts that have run longer than the mean
     * count as answers: a stalled server shows in them first.
     */
    void updateMeanLatency(double nowMs, double fleetLatency, OpenAttempts openAttempts) {
        double count = recentAnswers;
        double sum = recentLatencySum;
        for (Attempt attempt : running) {
            double latency = attempt.relativeLatency(nowMs);
            openAttempts.checkStalled(attempt, latency, fleetLatency);
            if (latency <= meanLatency * attempt.relativeSize) {
                continue;
            }
            count++;
            sum += Math.min(latency / attempt.relativeSize, MAX_RELATIVE_LATENCY);
            if (latency > 1 && !attempt.countedLate) {
                failures.add(nowMs, 1);
            }
            attempt.countedLate |= latency > 1;
        }
        meanLatency =
                (sum + fleetLatency * latencyRatioToFleet * PRIOR_ANSWERS)
                        / (count + PRIOR_ANSWERS);
    }

    void updateRank() {
        rank = meanLatency * (1 + ORDER_SPREAD / limiter.limit * orderDraw);
    }
}
