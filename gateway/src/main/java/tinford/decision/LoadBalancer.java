package tinford.decision;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/** Picks a server for each attempt and updates server statistics from the outcomes. */
final class LoadBalancer {
    /**
     * Number of passes over the ranked servers: they are filled up to a third of their concurrency
     * limits first, then to two thirds, then to the full limits.
     */
    private static final int FILL_PASSES = 3;

    /**
     * Typical latency of an attempt as a multiple of the mean latency of all servers; it is bounded
     * relative to the latency objective by the next two constants.
     */
    private static final double TYPICAL_LATENCY_MULTIPLE = 1.3;

    private static final double MIN_TYPICAL_LATENCY = 0.1;
    private static final double MAX_TYPICAL_LATENCY = 0.8;

    private final AttemptGuard guard;
    private final SlowStart slowStart;
    private final RequestSizeModel sizes;
    private final Random random;
    private final OpenAttempts openAttempts = new OpenAttempts();
    private final OutlierDetector outliers = new OutlierDetector();
    private final ServerRanking ranking;

    /** In endpoint list order, as random numbers are drawn in iteration order. */
    private final Set<ServerStats> servers = new LinkedHashSet<>();

    LoadBalancer(
            AttemptGuard guard,
            SlowStart slowStart,
            RequestSizeModel sizes,
            int gatewayCount,
            Random random) {
        this.guard = guard;
        this.slowStart = slowStart;
        this.sizes = sizes;
        this.random = random;
        this.ranking = new ServerRanking(slowStart, outliers, openAttempts, gatewayCount, random);
    }

    /**
     * @param complete whether servers without an entry have been removed
     */
    void updateEndpoints(List<Server> entries, boolean complete, double nowMs) {
        Set<Server> named = new HashSet<>(entries);
        for (ServerStats known : servers) {
            if (complete && !named.contains(known.server)) {
                known.server.updateState(Server.State.REMOVED);
            }
        }
        servers.removeIf(
                known -> known.server.state() == Server.State.REMOVED && known.running.isEmpty());
        for (Server entry : entries) {
            if (entry.state() != Server.State.REMOVED && !isKnown(entry)) {
                ServerStats added = new ServerStats(entry, random.nextDouble());
                entry.attach(added);
                servers.add(added);
            }
        }
        updateRanking(nowMs);
    }

    private boolean isKnown(Server entry) {
        return entry.decisionState() != null && servers.contains(ServerStats.of(entry));
    }

    int serverCount() {
        return servers.size();
    }

    void updateRanking(double nowMs) {
        ranking.update(servers, nowMs);
    }

    /**
     * Closes the idle connections to all servers. Connections that were opened or used recently are
     * the least likely to break during the next request.
     */
    void closeIdleConnections(Batch batch) {
        for (ServerStats known : servers) {
            batch.actions.closeIdleConnections(known.server);
        }
    }

    /** Returns the typical latency of an attempt for the request in ms. */
    double typicalLatencyMs(Request request) {
        double relative =
                TYPICAL_LATENCY_MULTIPLE
                        * ranking.fleetLatency()
                        * sizes.relativeSize(request.units);
        return Math.min(MAX_TYPICAL_LATENCY, Math.max(MIN_TYPICAL_LATENCY, relative))
                * request.requestClass.latencyObjectiveMs;
    }

    /**
     * Returns whether any server has a free slot. The gateway's own limit is checked as well: with
     * many gateways each one's limit at a server may be below one slot.
     */
    boolean hasFreeSlot() {
        return !openAttempts.isFull()
                && ranking.ranked().stream()
                        .anyMatch(server -> server.running.size() < server.limiter.slots);
    }

    /** Returns the server for the next attempt of the request, or null if it has to wait. */
    ServerStats pick(Batch batch, PendingRequest pending) {
        if (openAttempts.isFull()) {
            return null;
        }
        // independent of the server: checked once here, as the whole queue may be waiting for it
        if (pending.isFirstAttempt()
                && !pending.quota.allowsNewRequest(pending.request.units, batch.nowMs)) {
            return null;
        }
        ServerStats warmingUp = pickWarmingUp(batch, pending);
        return warmingUp != null ? warmingUp : pickRanked(batch, pending);
    }

    private ServerStats pickWarmingUp(Batch batch, PendingRequest pending) {
        for (ServerStats server : ranking.warmingUp()) {
            if (batch.nowMs >= server.ejectedUntilMs && guard.allows(batch, pending, server)) {
                return server;
            }
        }
        return null;
    }

    private ServerStats pickRanked(Batch batch, PendingRequest pending) {
        for (int pass = 1; pass <= FILL_PASSES; pass++) {
            for (ServerStats server : ranking.ranked()) {
                if (server.running.size()
                                < Math.ceil(server.limiter.slots * pass / (double) FILL_PASSES)
                        && server.isEligible(batch.nowMs, batch.policy)
                        && guard.allows(batch, pending, server)) {
                    return server;
                }
            }
        }
        return null;
    }

    /** Records that an attempt is sent to the server. */
    Attempt startAttempt(PendingRequest pending, ServerStats server, double nowMs) {
        double units = pending.request.units;
        Attempt attempt = new Attempt(pending, server, nowMs, sizes.relativeSize(units));
        server.running.add(attempt);
        openAttempts.attemptSent();
        if (slowStart.isWarmingUp(server.server, nowMs)) {
            server.slowStartCredit -= units / sizes.meanUnits();
        }
        return attempt;
    }

    /**
     * Called for each request within its quota. While all servers are warming up, it stands in for
     * the successful response of a warm server that would earn them credit.
     */
    void requestOffered(double nowMs) {
        if (ranking.warmingUp().size() == ranking.ranked().size()) {
            grantSlowStartCredit(nowMs);
        }
    }

    private void grantSlowStartCredit(double nowMs) {
        slowStart.grantCredit(ranking.warmingUp(), ranking.ranked().size(), nowMs);
    }

    /**
     * Updates the statistics with an attempt that has ended or whose streamed response has started;
     * how long the rest of a stream takes depends on its client.
     */
    void finishAttempt(
            Batch batch, Attempt attempt, AttemptOutcome outcome, double tookMs, double units) {
        ServerStats server = attempt.server;
        double objectiveMs = attempt.pending.request.requestClass.latencyObjectiveMs;
        server.running.remove(attempt);
        openAttempts.attemptEnded(attempt);
        if (outcome == AttemptOutcome.SUCCESS) {
            if (tookMs <= objectiveMs) {
                batch.policy.serverHealthChanged(server.server, false);
            }
            server.consecutiveEjections = 0;
        }
        double latency = tookMs / objectiveMs;
        switch (outcome) {
            case SUCCESS -> recordSuccess(attempt, latency, units, batch.nowMs);
            case TIMED_OUT ->
                    recordResponse(
                            attempt,
                            Math.max(1, latency / attempt.relativeSize),
                            !attempt.countedLate,
                            batch.nowMs);
            case ERROR, CONNECTION_LOST -> recordError(batch, attempt);
            case OVERLOADED, UNREACHABLE -> recordRefusal(batch, server, outcome);
            default -> {}
        }
    }

    private void recordSuccess(Attempt attempt, double latency, double units, double nowMs) {
        if (!slowStart.isWarmingUp(attempt.server.server, nowMs)) {
            grantSlowStartCredit(nowMs);
        }
        sizes.observe(units, latency);
        boolean failure = latency > 1 && !attempt.countedLate;
        recordResponse(attempt, latency / sizes.relativeSize(units), failure, nowMs);
    }

    /**
     * Ejects the server if it is an outlier. A server that fails immediately always has free slots
     * and would otherwise attract many attempts per second.
     */
    private void recordError(Batch batch, Attempt attempt) {
        ServerStats server = attempt.server;
        recordResponse(attempt, server.meanLatency, true, batch.nowMs);
        server.outlier = outliers.isOutlier(server, batch.nowMs);
        if (server.outlier) {
            server.eject(batch.nowMs);
            batch.policy.serverHealthChanged(server.server, true);
        }
    }

    /** Ejects the server. An overloaded server is not unhealthy, as all servers may be full. */
    private static void recordRefusal(Batch batch, ServerStats server, AttemptOutcome outcome) {
        server.eject(batch.nowMs);
        if (outcome == AttemptOutcome.UNREACHABLE) {
            batch.policy.serverHealthChanged(server.server, true);
        }
    }

    private void recordResponse(Attempt attempt, double latency, boolean failure, double nowMs) {
        attempt.server.recordResponse(nowMs, latency, ranking.fleetLatency(), failure);
    }
}
