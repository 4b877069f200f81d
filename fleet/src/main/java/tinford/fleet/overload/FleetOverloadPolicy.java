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
 * Fleet-wide overload control: limits which requests are admitted, how many are retried, and which
 * gateways probe unhealthy servers. Does no I/O; not thread-safe.
 */
public final class FleetOverloadPolicy extends FleetPolicy {
    /** Shorter intervals gain nothing: gossip records arrive no more often than this. */
    private static final double UPDATE_INTERVAL_MS = 100;

    private final Incarnation incarnation;
    private final LocalStatistics statistics;
    private final AdmissionThreshold admission;
    private final RetryBudget retryBudget;
    private final ProbeOwners probeOwners;
    private final RetryJitter retryJitter;
    private boolean alone = true;
    private double updatedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param windowMs an admission threshold is removed within two windows after the end of the
     *     overload that caused it; some seconds
     * @param retryRatio retries per first attempt, counting retries of attempts that may have been
     *     executed
     */
    public FleetOverloadPolicy(
            double nowMs,
            Incarnation incarnation,
            double windowMs,
            double retryRatio,
            Random random) {
        this.incarnation = incarnation;
        this.statistics = new LocalStatistics(nowMs);
        this.admission = new AdmissionThreshold(windowMs);
        this.retryBudget = new RetryBudget(retryRatio, random);
        this.probeOwners = new ProbeOwners(random);
        this.retryJitter = new RetryJitter(windowMs / 2);
    }

    /** To be called once per batch, before the other calls of that batch. */
    public void update(double nowMs, Membership membership) {
        statistics.advance(nowMs);
        if (nowMs - updatedAtMs < UPDATE_INTERVAL_MS) {
            return;
        }
        updatedAtMs = nowMs;
        alone = membership.aliveCount() <= 1;
        admission.update(nowMs, membership);
        retryBudget.update(nowMs, incarnation, membership);
        probeOwners.update(nowMs, incarnation, membership);
    }

    /** The gossip record that is sent to the peers. */
    public GossipRecord record(int sequence) {
        GossipRecord record = statistics.record(incarnation, sequence);
        record.capacity = admission.capacity();
        retryBudget.writeTo(record);
        probeOwners.writeTo(record);
        return record;
    }

    /** The priority weight below which nothing is admitted; 0 if everything is admitted. */
    public double threshold() {
        return admission.threshold();
    }

    /** The admitted share of the priority class whose lower bound is the threshold. */
    public double shareAtThreshold() {
        return admission.shareAtThreshold();
    }

    /**
     * Compares priority classes rather than weights, so that gateways whose thresholds differ
     * slightly shed the same requests.
     */
    @Override
    public double admittedShare(double weight) {
        int priorityClass = GossipRecord.priorityClassOf(weight);
        int thresholdClass = GossipRecord.priorityClassOf(admission.threshold());
        if (admission.threshold() <= 0 || priorityClass > thresholdClass) {
            return 1;
        }
        return priorityClass < thresholdClass ? 0 : admission.shareAtThreshold();
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
        return retryJitter.jitterMs(admission.demandToCapacity());
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
        probeOwners.attemptSent(server);
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
        probeOwners.serverHealthChanged(server, unhealthy);
    }
}
