package tinford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import tinford.api.Server;

/** The order in which servers are filled, updated periodically from recent statistics. */
final class ServerRanking {
    /** Initial concurrency limit of a server of mean weight, summed over all gateways. */
    private static final double INITIAL_LIMIT_OVER_ALL_GATEWAYS = 5;

    /** Number of responses as which the initial latency is weighted. */
    private static final double PRIOR_RESPONSES = 4;

    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final OpenAttempts openAttempts;
    private final Random random;
    private final double initialLimit;
    private final List<ServerStats> ranked = new ArrayList<>();
    private final List<ServerStats> warmingUp = new ArrayList<>();
    private double fleetLatency = RequestSizeModel.INITIAL_RELATIVE_LATENCY;

    ServerRanking(
            SlowStart slowStart,
            OutlierDetector outliers,
            OpenAttempts openAttempts,
            int gatewayCount,
            Random random) {
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.openAttempts = openAttempts;
        this.random = random;
        this.initialLimit = INITIAL_LIMIT_OVER_ALL_GATEWAYS / gatewayCount;
    }

    /** Returns the servers that are up, best first. */
    List<ServerStats> ranked() {
        return ranked;
    }

    /** Returns the servers that are warming up, in random order. */
    List<ServerStats> warmingUp() {
        return warmingUp;
    }

    /** Returns the mean relative latency over all servers. */
    double fleetLatency() {
        return fleetLatency;
    }

    void update(Collection<ServerStats> servers, double nowMs) {
        collect(servers, nowMs);
        // all gateways have the same endpoint list and must not all prefer the same server
        Collections.shuffle(warmingUp, random);
        updateLimits(nowMs);
        outliers.update(ranked, nowMs);
        ranked.forEach(ServerStats::updateRank);
        ranked.sort((a, b) -> Double.compare(a.rank, b.rank));
    }

    private void collect(Collection<ServerStats> servers, double nowMs) {
        ranked.clear();
        warmingUp.clear();
        double latencySum = PRIOR_RESPONSES * RequestSizeModel.INITIAL_RELATIVE_LATENCY;
        double responses = PRIOR_RESPONSES;
        for (ServerStats server : servers) {
            if (server.server.state() != Server.State.UP) {
                continue;
            }
            ranked.add(server);
            if (server.hasRestarted()) {
                server.resetAfterRestart(random.nextDouble());
            }
            if (slowStart.isWarmingUp(server.server, nowMs)) {
                warmingUp.add(server);
            }
            server.updateTotals(nowMs);
            latencySum += server.recentLatencySum;
            responses += server.recentResponses;
        }
        fleetLatency = latencySum / responses;
    }

    private void updateLimits(double nowMs) {
        double meanWeight =
                ranked.stream().mapToDouble(server -> server.server.weight()).average().orElse(1);
        int peakOpen = openAttempts.peak();
        double limitSum = openAttempts.limitSum();
        for (ServerStats server : ranked) {
            server.updateMeanLatency(nowMs, fleetLatency, openAttempts);
            double weight = server.server.weight();
            double relativeWeight = meanWeight > 0 && weight > 0 ? weight / meanWeight : 1;
            server.limiter.update(
                    initialLimit * relativeWeight, server.meanLatency, peakOpen, limitSum, random);
        }
        openAttempts.updateLimit(
                ranked.stream().mapToDouble(server -> server.limiter.limit).sum(), random);
    }
}
