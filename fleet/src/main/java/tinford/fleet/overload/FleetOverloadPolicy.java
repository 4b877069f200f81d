package tinford.fleet.overload;

import java.util.Random;
import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;
import tinford.api.Request;
import tinford.api.Server;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * The part of the fleet's policy that handles overload: which requests are admitted, how many
 * retries are sent, and which gateway probes an ejected server. No I/O; for one thread. Times are
 * in ms.
 */
public final class FleetOverloadPolicy extends FleetPolicy {
    /** Records come no faster than this. */
    private static final double UPDATE_INTERVAL_MS = 100;

    private final Incarnation incarnation;
    private final LocalStatistics statistics;
    private final AdmissionThreshold admission;
    private final RetryBudget retryBudget;
    private final ProbeOwners probeOwners;
    private final RetryJitter retryJitter;
    private boolean alone = true;
    private double lastUpdateMs = Double.NEGATIVE_INFINITY;

    /**
     * @param windowMs some seconds; a threshold is gone two of them after its cause
     * @param retryPart of first attempts that may be retried where they may have run
     */
    public FleetOverloadPolicy(
            double nowMs,
            Incarnation incarnation,
            double windowMs,
            double retryPart,
            Random random) {
        this.incarnation = incarnation;
        this.statistics = new LocalStatistics(nowMs);
        this.admission = new AdmissionThreshold(windowMs);
        this.retryBudget = new RetryBudget(retryPart, random);
        this.probeOwners = new ProbeOwners(random);
        this.retryJitter = new RetryJitter(windowMs / 2);
    }

    /** To be called in each iteration, before the policy is asked. */
    public void update(double nowMs, Membership membership) {
        statistics.advance(nowMs);
        if (nowMs - lastUpdateMs < UPDATE_INTERVAL_MS) {
            return;
        }
        lastUpdateMs = nowMs;
        alone = membership.aliveCount() <= 1;
        admission.update(nowMs, membership);
        retryBudget.update(nowMs, incarnation, membership);
        probeOwners.update(nowMs, incarnation, membership);
    }

    /** The gossip record of now. */
    public GossipRecord record(int sequence) {
        GossipRecord record = statistics.record(incarnation, sequence);
        record.capacity = admission.capacity();
        retryBudget.writeTo(record);
        probeOwners.writeTo(record);
        return record;
    }

    /** See {@link AdmissionThreshold#threshold}. */
    public double threshold() {
        return admission.threshold();
    }

    /** See {@link AdmissionThreshold#partAtThreshold}. */
    public double partAtThreshold() {
        return admission.partAtThreshold();
    }

    /** By priority class, so that gateways whose thresholds differ within one class shed alike. */
    @Override
    public double admittedShare(double weight) {
        if (admission.threshold() <= 0) {
            return 1;
        }
        int order =
                Integer.compare(
                        GossipRecord.classOf(weight), GossipRecord.classOf(admission.threshold()));
        if (order == 0) {
            return admission.partAtThreshold();
        }
        return order > 0 ? 1 : 0;
    }

    @Override
    public double retryAllowance(double ownBudget) {
        return alone ? ownBudget : retryBudget.level();
    }

    @Override
    public boolean ownsProbing(Server server) {
        return probeOwners.mayProbe(server);
    }

    @Override
    public double retryAfterJitterMs() {
        return retryJitter.maxMs(admission.overloadFactor());
    }

    @Override
    public void requestOffered(Request request, double weight) {
        statistics.requestOffered(request.units, weight);
    }

    @Override
    public void requestRejected(Request request, double weight) {
        statistics.requestRejected(request.units, weight);
    }

    @Override
    public void attemptSent(Request request, Server server, double weight, boolean retry) {
        statistics.attemptSent(retry);
        retryBudget.attemptSent(retry);
        probeOwners.recordProbe(server);
    }

    @Override
    public void attemptEnded(Request request, Server server, AttemptOutcome outcome, boolean late) {
        statistics.attemptEnded(request.units, outcome, late);
        if (!outcome.mayHaveRun) {
            retryBudget.attemptNeverRan();
        }
    }

    @Override
    public void serverHealthChanged(Server server, boolean unhealthy) {
        probeOwners.recordHealth(server, unhealthy);
    }
}
