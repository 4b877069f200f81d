package tinford.decision;

import java.util.ArrayList;
import java.util.List;
import tinford.api.DecisionState;
import tinford.api.Request;

/** A request that this gateway owes an answer or still expects outcomes for. */
final class PendingRequest implements DecisionState {
    /** Stands for a deduplication window of a request that has no attempt that may have run. */
    static final double UNBOUNDED_MS = 1e9;

    /** What is left before the client gives up, for the answer to reach it. */
    private static final double CLIENT_MARGIN_MS = 100;

    final Request request;
    final TenantQuota quota;

    /** In the order of arrival at this gateway. */
    final long sequence;

    final double arrivedAtMs;
    final double objectiveAtMs;
    final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * For each unit: the class's and the plan's weight, boosted, less where it is over its quota.
     */
    double weight;

    /**
     * The latest time at which an attempt would still be answered within objective and deadline.
     */
    double latestSendMs;

    /** Where its units were counted, or null; they can be taken back from there. */
    CounterWindow countedIn;

    /** The counter's total right after its units were added. */
    double countedTotal;

    /** It waits for the total of the window before. */
    boolean awaitsPreviousWindow;

    /** Its quota has been decided: nothing is awaited from the counter any more. */
    boolean quotaDecided;

    /** It was admitted by the fallback, without a total from the counter. */
    boolean admittedByFallback;

    /** It was within its quota when it was admitted. */
    boolean withinQuota;

    boolean responseStarted;

    /** Nothing more is done for it. */
    boolean over;

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
     * @param typicalMs what an attempt for it usually takes
     */
    void planLatestSend(double typicalMs) {
        latestSendMs = Math.min(objectiveAtMs, request.deadlineMs - CLIENT_MARGIN_MS) - typicalMs;
    }

    /** Its weight without this gateway's own boost: comparable over the whole fleet. */
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
     * For how long servers still recognise a further attempt as a repeat, counted from the first
     * attempt that may have run.
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
