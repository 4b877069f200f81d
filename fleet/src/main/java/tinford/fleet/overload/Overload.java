package tinford.fleet.overload;

import java.util.Random;
import tinford.api.End;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.View;
import tinford.fleet.members.GossipRecord;
import tinford.fleet.members.Incarnation;
import tinford.fleet.members.Membership;

/**
 * Overload handled by the fleet as one: the part of the view that bounds what is passed, sent
 * again, and tried. No I/O, one thread.
 */
public final class Overload extends View {
    private static final double STEP_MS =
            100; // the line is worked out this often; records come no faster

    private final Incarnation incarnation;
    private final Own own;
    private final Line line;
    private final Further further;
    private final Owners owners;
    private final Spread spread;
    private boolean alone = true;
    private double steppedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param window ms, of some seconds: a line is gone two of them after its cause
     * @param part of first dispatches that may be sent again where they may have run
     */
    public Overload(
            double now, Incarnation incarnation, double window, double part, Random chance) {
        this.incarnation = incarnation;
        this.own = new Own(now);
        this.line = new Line(window);
        this.further = new Further(part, chance);
        this.owners = new Owners(chance);
        this.spread = new Spread(window / 2);
    }

    /** Once a round, before the round's calls of the view. */
    public void round(double now, Membership membership) {
        own.round(now);
        if (now - steppedAt < STEP_MS) return;
        steppedAt = now;
        alone = membership.living() <= 1;
        line.round(now, membership);
        further.round(now, incarnation, membership);
        owners.round(now, incarnation, membership);
    }

    /** The record to tell. */
    public GossipRecord record(int seq) {
        GossipRecord s = own.record(incarnation, seq);
        s.bears = line.bears();
        further.tell(s);
        owners.tell(s);
        return s;
    }

    public double threshold() {
        return line.threshold();
    }

    public double partAtThreshold() {
        return line.part();
    }

    /** By class of worth, so that gateways whose lines differ a little within one shed alike. */
    @Override
    public double part(double worth) {
        int c = GossipRecord.classOf(worth);
        int at = GossipRecord.classOf(line.threshold());
        return line.threshold() <= 0 || c > at ? 1 : c < at ? 0 : line.part();
    }

    @Override
    public double further(double byOwn) {
        return alone ? byOwn : further.level();
    }

    @Override
    public boolean looksAfter(Srv srv) {
        return owners.looksAfter(srv);
    }

    @Override
    public double spread() {
        return spread.most(line.overAsked());
    }

    @Override
    public void asked(Req req, double worth) {
        own.asked(req.units, worth);
    }

    @Override
    public void denied(Req req, double worth) {
        own.denied(req.units, worth);
    }

    @Override
    public void sent(Req req, Srv srv, double worth, boolean again) {
        own.sent(again);
        further.sent(again);
        owners.tried(srv);
    }

    @Override
    public void ended(Req req, Srv srv, End how, boolean late) {
        own.ended(req.units, how, late);
        if (!how.mayHaveRun) further.neverRan();
    }

    @Override
    public void ill(Srv srv, boolean ill) {
        owners.found(srv, ill);
    }
}
