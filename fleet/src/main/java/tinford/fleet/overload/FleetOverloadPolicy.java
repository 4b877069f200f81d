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
 * Overload handled by the fleet as one: the part of the view that bounds what is passed, sent
 * again, and tried. No I/O, one thread.
 */
public final class FleetOverloadPolicy extends FleetPolicy {
    private static final double STEP_MS =
            100; // the line is worked out this often; records come no faster

    private final Incarnation incarnation;
    private final LocalStatistics statistics;
    private final AdmissionThreshold admission;
    private final RetryBudget retryBudget;
    private final ProbeOwners probeOwners;
    private final RetryJitter retryJitter;
    private boolean alone = true;
    private double steppedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param window ms, of some seconds: a line is gone two of them after its cause
     * @param part of first dispatches that may be sent again where they may have run
     */
    public FleetOverloadPolicy(
            double now, Incarnation incarnation, double window, double part, Random chance) {
        this.incarnation = incarnation;
        this.statistics = new LocalStatistics(now);
        this.admission = new AdmissionThreshold(window);
        this.retryBudget = new RetryBudget(part, chance);
        this.probeOwners = new ProbeOwners(chance);
        this.retryJitter = new RetryJitter(window / 2);
    }

    /** Once a round, before the round's calls of the view. */
    public void round(double now, Membership membership) {
        statistics.round(now);
        if (now - steppedAt < STEP_MS) return;
        steppedAt = now;
        alone = membership.aliveCount() <= 1;
        admission.round(now, membership);
        retryBudget.round(now, incarnation, membership);
        probeOwners.round(now, incarnation, membership);
    }

    /** The record to tell. */
    public GossipRecord record(int seq) {
        GossipRecord s = statistics.record(incarnation, seq);
        s.capacity = admission.capacity();
        retryBudget.tell(s);
        probeOwners.tell(s);
        return s;
    }

    public double threshold() {
        return admission.threshold();
    }

    public double partAtThreshold() {
        return admission.part();
    }

    /** By class of worth, so that gateways whose lines differ a little within one shed alike. */
    @Override
    public double admittedShare(double worth) {
        int c = GossipRecord.classOf(worth);
        int at = GossipRecord.classOf(admission.threshold());
        return admission.threshold() <= 0 || c > at ? 1 : c < at ? 0 : admission.part();
    }

    @Override
    public double retryAllowance(double byOwn) {
        return alone ? byOwn : retryBudget.level();
    }

    @Override
    public boolean ownsProbing(Server srv) {
        return probeOwners.looksAfter(srv);
    }

    @Override
    public double retryAfterJitterMs() {
        return retryJitter.most(admission.overAsked());
    }

    @Override
    public void requestOffered(Request request, double worth) {
        statistics.asked(request.units, worth);
    }

    @Override
    public void requestRejected(Request request, double worth) {
        statistics.denied(request.units, worth);
    }

    @Override
    public void attemptSent(Request request, Server srv, double worth, boolean again) {
        statistics.sent(again);
        retryBudget.sent(again);
        probeOwners.tried(srv);
    }

    @Override
    public void attemptEnded(Request request, Server srv, AttemptOutcome how, boolean late) {
        statistics.ended(request.units, how, late);
        if (!how.mayHaveRun) retryBudget.neverRan();
    }

    @Override
    public void serverHealthChanged(Server srv, boolean ill) {
        probeOwners.found(srv, ill);
    }
}
