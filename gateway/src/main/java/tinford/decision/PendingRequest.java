package tinford.decision;

import java.util.ArrayList;
import java.util.List;
import tinford.api.DecisionState;
import tinford.api.Request;

/** A request without a final response, or with attempts whose outcomes are still expected. */
final class PendingRequest implements DecisionState {
    /** Remaining deduplication window if no attempt of the request may have run. */
    static final double UNBOUNDED_MS = 1e9;

    /** Time before the client deadline that is reserved for the response to reach the client. */
    private static final double CLIENT_DEADLINE_MARGIN_MS = 100;

    final Request request;
    final TenantQuota quota;

    /** Sequence number of the arrival at this gateway. */
    final long sequence;

    final double arrivedAtMs;
    final double objectiveAtMs;
    final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * Priority weight of each unit: the product of the request class's weight, the plan's weight
     * and the priority boost, reduced if the request is over its quota.
     */
    double weight;

    /**
     * Latest time at which an attempt can be sent and is still expected to complete within latency
     * objective and deadline.
     */
    double latestSendMs;

    /** Window in which the units were counted and can be returned, or null. */
    CounterWindow countedWindow;

    /** Total of the window right after the units were added. */
    double countedTotal;

    /** Whether the request waits for the total of the previous window. */
    boolean awaitsPreviousWindow;

    /** Whether the counter call that adds the request's units is no longer waited for. */
    boolean quotaDecided;

    /** Whether the fallback admitted the request, without a total from the counter. */
    boolean admittedByFallback;

    /** Whether the request passed the quota check and was reported to the fleet as offered. */
    boolean offered;

    boolean responseStarted;

    /** Whether the processing of the request has ended. */
    boolean completed;

    private final double priorityBoost;

    PendingRequest(Request request, TenantQuota quota, long sequence, double nowMs) {
        this.request = request;
        this.quota = quota;
        this.sequence = sequence;
        this.arrivedAtMs = nowMs;
        this.priorityBoost = quota.usage().priorityBoost;
        this.weight =
                request.requestClass.priorityWeight * quota.plan().priorityWeight * priorityBoost;
        this.objectiveAtMs = nowMs + request.requestClass.latencyObjectiveMs;
    }

    static PendingRequest of(Request request) {
        return (PendingRequest) request.decisionState();
    }

    /**
     * @param typicalMs typical latency of an attempt for the request
     */
    void updateLatestSend(double typicalLatencyMs) {
        latestSendMs =
                Math.min(objectiveAtMs, request.deadlineMs - CLIENT_DEADLINE_MARGIN_MS)
                        - typicalLatencyMs;
    }

    /** Returns the weight without this gateway's priority boost, comparable across the fleet. */
    double fleetWeight() {
        return weight / priorityBoost;
    }

    boolean isFirstAttempt() {
        return attempts.isEmpty();
    }

    boolean hasRunningAttempt() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome == null);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /**
     * Returns the time for which servers still recognise a further attempt as a repeat, measured
     * from the first attempt that may have run.
     */
    double deduplicationLeftMs(double nowMs, double tickMs) {
        double windowMs = request.requestClass.deduplicationWindowMs;
        return attempts.stream()
                .filter(Attempt::mayHaveRun)
                .mapToDouble(attempt -> attempt.sentAtMs + windowMs - tickMs - nowMs)
                .min()
                .orElse(UNBOUNDED_MS);
    }
}
