package tinford.decision;

import tinford.api.AttemptLimits;
import tinford.api.FleetPolicy;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;

/** Checks all rules on attempts; no attempt is sent without its approval. */
final class AttemptGuard {
    private final AttemptLimits limits;
    private final SlowStart slowStart;
    private final double tickMs;

    /**
     * @param tickMs upper bound of the delay in ms with which this gateway handles an event
     */
    AttemptGuard(AttemptLimits limits, SlowStart slowStart, double tickMs) {
        this.limits = limits;
        this.slowStart = slowStart;
        this.tickMs = tickMs;
    }

    /** Returns whether the request may be sent to the server now. */
    boolean allows(Batch batch, PendingRequest pending, ServerStats server) {
        double nowMs = batch.nowMs;
        if (pending.completed
                || pending.responseStarted
                || nowMs >= pending.request.deadlineMs
                || server.server.state() != Server.State.UP
                || pending.attempts.size() >= limits.maxAttempts()) {
            return false;
        }
        Server earlier = null;
        if (pending.attempts.isEmpty()) {
            if (!pending.quota.allowsNewRequest(pending.request.units, nowMs)) {
                return false;
            }
        } else {
            if (!mayRetryAt(pending, server.server, nowMs)) {
                return false;
            }
            earlier = lastServerThatMayHaveRun(pending);
        }
        return fleetAllows(batch.policy, pending, server, earlier)
                && (!slowStart.isWarmingUp(server.server, nowMs) || server.slowStartCredit >= 1);
    }

    boolean isAttemptLimitReached(PendingRequest pending) {
        return pending.attempts.size() >= limits.maxAttempts();
    }

    private boolean mayRetryAt(PendingRequest pending, Server server, double nowMs) {
        RequestClass requestClass = pending.request.requestClass;
        for (Attempt earlier : pending.attempts) {
            if (earlier.outcome == null && !limits.hedgingAllowed()) {
                return false;
            }
            if (!earlier.mayHaveRun() || requestClass.idempotency == Idempotency.IDEMPOTENT) {
                continue;
            }
            if (requestClass.idempotency == Idempotency.NON_IDEMPOTENT
                    || !isDeduplicated(requestClass, earlier.server.server, server)
                    || pending.deduplicationLeftMs(nowMs, tickMs) <= 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDeduplicated(
            RequestClass requestClass, Server earlier, Server server) {
        return switch (requestClass.deduplicationScope) {
            case ALL -> true;
            case ZONE -> earlier.zone().equals(server.zone());
            case CELL -> earlier.cell() == server.cell();
        };
    }

    private static boolean fleetAllows(
            FleetPolicy policy, PendingRequest pending, ServerStats server, Server earlier) {
        Request request = pending.request;
        if (!policy.allowsServer(request, server.server, earlier)) {
            return false;
        }
        if (server.running.size() >= policy.connectionLimit(server.server)
                || pending.quota.openAttempts() >= policy.tenantAttemptLimit(request.tenant)) {
            policy.requestBlocked(request);
            return false;
        }
        return true;
    }

    private static Server lastServerThatMayHaveRun(PendingRequest pending) {
        Server last = null;
        for (Attempt earlier : pending.attempts) {
            if (earlier.mayHaveRun()) {
                last = earlier.server.server;
            }
        }
        return last;
    }
}
