package tinford.decision;

import java.util.ArrayList;
import java.util.List;
import tinford.api.DecisionState;
import tinford.api.FleetPolicy;
import tinford.api.Server;

/**
 * This gateway's statistics of one server and its attempts in flight there. Latency is relative to
 * the latency objective of the request class.
 */
final class ServerStats implements DecisionState {
    private static final double MAX_RELATIVE_LATENCY = 2;
    private static final double INITIAL_MEAN_LATENCY = 0.2;

    /** Weight of one response in the latency ratio to the fleet. */
    private static final double RATIO_GAIN = 0.1;

    private static final double MAX_RATIO = 4;

    /** Number of responses as which the prior, derived from the fleet's latency, is weighted. */
    private static final double PRIOR_RESPONSES = 4;

    /** Size of the random spread of a server's rank, which differs between gateways. */
    private static final double RANK_SPREAD = 0.8;

    private static final double FIRST_EJECTION_MS = 250;
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    final Server server;
    final RollingSum responses = new RollingSum();
    final RollingSum failures = new RollingSum();
    final RollingSum latencySum = new RollingSum();
    final List<Attempt> running = new ArrayList<>();
    final ConcurrencyLimiter limiter = new ConcurrencyLimiter();

    /** Whether the server is an outlier; it then gets at most one attempt at a time. */
    boolean outlier;

    double ejectedUntilMs;

    /** Ejections since the last successful attempt; each doubles the time of the next one. */
    int consecutiveEjections;

    /** Attempts, with fractions, that a server that is warming up has earned. */
    double slowStartCredit;

    double meanLatency = INITIAL_MEAN_LATENCY;

    /** Number of recent responses, as of the last {@link #updateTotals}. */
    double recentResponses;

    /** Sum of the relative latencies of the recent responses. */
    double recentLatencySum;

    /** Sort key of the server; the lowest comes first. */
    double rank;

    private double latencyRatioToFleet = 1;
    private double lastSeenStartMs;

    /**
     * Random part of the rank. It is drawn once, so that gateways prefer different servers and each
     * keeps few connections.
     */
    private final double rankJitter;

    /**
     * @param rankJitter random part of the rank, uniformly distributed from 0 to 1
     */
    ServerStats(Server server, double rankJitter) {
        this.server = server;
        this.rankJitter = rankJitter;
    }

    static ServerStats of(Server server) {
        return (ServerStats) server.decisionState();
    }

    /** Ejects the server, with an exponential backoff that ends with its next success. */
    void eject(double nowMs) {
        int doublings = Math.min(MAX_EJECTION_DOUBLINGS, consecutiveEjections++);
        ejectedUntilMs = nowMs + FIRST_EJECTION_MS * (1 << doublings);
    }

    /**
     * Returns whether the server may get an attempt. After an ejection only its probe owner tries
     * it again.
     */
    boolean isEligible(double nowMs, FleetPolicy policy) {
        return nowMs >= ejectedUntilMs
                && (!outlier || running.isEmpty())
                && (!outlier && consecutiveEjections == 0 || policy.ownsProbing(server));
    }

    /** Returns whether the server has restarted since the last call. */
    boolean hasRestarted() {
        if (lastSeenStartMs == server.startedAtMs()) {
            return false;
        }
        lastSeenStartMs = server.startedAtMs();
        return true;
    }

    /** Resets the ejection state after a restart of the server and sets its slow-start credit. */
    void resetAfterRestart(double credit) {
        slowStartCredit = credit;
        consecutiveEjections = 0;
        ejectedUntilMs = 0;
    }

    void recordResponse(double nowMs, double latency, double fleetLatency, boolean failure) {
        responses.add(nowMs, 1);
        latencySum.add(nowMs, Math.min(latency, MAX_RELATIVE_LATENCY));
        latencyRatioToFleet +=
                RATIO_GAIN * (Math.min(MAX_RATIO, latency / fleetLatency) - latencyRatioToFleet);
        if (failure) {
            failures.add(nowMs, 1);
        }
    }

    /** Updates the sums over the recent responses. */
    void updateTotals(double nowMs) {
        recentResponses = responses.total(nowMs);
        recentLatencySum = latencySum.total(nowMs);
    }

    /**
     * Updates the mean latency from the totals. Attempts in flight that already exceed the mean
     * count as responses, as a stalled server shows in them first.
     */
    void updateMeanLatency(double nowMs, double fleetLatency, OpenAttempts openAttempts) {
        double count = recentResponses;
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
                (sum + fleetLatency * latencyRatioToFleet * PRIOR_RESPONSES)
                        / (count + PRIOR_RESPONSES);
    }

    void updateRank() {
        rank = meanLatency * (1 + RANK_SPREAD / limiter.limit * rankJitter);
    }
}
