package tinford.fleet.migration;

import java.util.HashMap;
import java.util.Map;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;

/**
 * Where the requests of frontends that may move go through one gateway, and what it tells the
 * others. Called on the I/O thread only; a status and a lease come from entries that were applied
 * in order, so a lease is never acted on with an older status than it was granted after.
 */
public class MigrationRouter {
    private final Incarnation self;
    private final double every;
    private final Map<String, Integer> salts = new HashMap<>();
    private MigrationStatus status;
    private Lease lease;
    private boolean acked;
    private double ackOffered = Double.NEGATIVE_INFINITY;
    private double reported = Double.NEGATIVE_INFINITY;
    private long[] counts = new long[0];
    private boolean news;

    /**
     * @param every ms after which an ack that was not seen in the log is offered again, and between
     *     reports
     */
    public MigrationRouter(Incarnation self, MigrationStatus first, double every) {
        this.self = self;
        this.every = every;
        first.homes().keySet().forEach(name -> salts.put(name, name.hashCode()));
        see(first, null, false);
    }

    /**
     * After each applied entry: the status of the moves, the own lease if any, and whether the log
     * has this incarnation's ack of this turn.
     */
    public void see(MigrationStatus now, Lease own, boolean acked) {
        if (status == null || status.turn() != now.turn()) {
            counts = new long[now.plan() == null ? 0 : 4 * now.plan().frontends.size()];
            news = false;
            ackOffered = Double.NEGATIVE_INFINITY;
            reported = Double.NEGATIVE_INFINITY;
        }
        this.status = now;
        this.lease = own;
        this.acked = acked;
    }

    /**
     * Whether a request may be sent to that group now. Without a lease of its own that holds by its
     * own clock a gateway sends nothing of what may move. All requests of one customer and frontend
     * change together, so a retry is judged alike by every gateway.
     *
     * @param retry whether the client says that it asked before
     * @param first where an earlier dispatch of this very request may have run, or null
     */
    public boolean mayGo(
            String frontend, long customer, boolean retry, String group, String first, double now) {
        Integer salt = salts.get(frontend);
        if (salt == null) {
            return true;
        }
        if (!mayAct(now)) {
            return false;
        }
        int at = status.plan() == null ? -1 : status.plan().index(frontend);
        if (at < 0) {
            return group.equals(status.homes().get(frontend));
        }
        MigrationPlan.Mover mover = status.plan().frontends.get(at);
        if (mover.uniqued() && first != null) {
            return group.equals(first);
        }
        MigrationStep.Part part = status.step().parts().get(at);
        return group.equals(goes(mover, part, part(customer, salt), retry));
    }

    /** By its own clock. */
    public boolean mayAct(double now) {
        return lease != null && lease.holds(now);
    }

    /** The group, or null for neither. */
    protected String goes(
            MigrationPlan.Mover mover, MigrationStep.Part part, double at, boolean retry) {
        if (at < part.share()) {
            return mover.to();
        }
        if (at >= part.until()) {
            return mover.from();
        }
        if (part.phase() == MigrationStep.Phase.HOLD) {
            return mover.told() && !retry ? mover.from() : null;
        }
        return mover.told() && retry ? null : mover.to();
    }

    /** From 0 to below 1, the same at every gateway. */
    public static double part(long customer, int salt) {
        long x = customer * 0x9E3779B97F4A7C15L + salt * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return ((x ^ x >>> 31) >>> 11) * 0x1p-53;
    }

    /** An answer of a server of that group came, or failed to; late ones count as bad. */
    public void ended(String frontend, String group, boolean good) {
        int at = status.plan() == null ? -1 : status.plan().index(frontend);
        if (at < 0) {
            return;
        }
        MigrationPlan.Mover mover = status.plan().frontends.get(at);
        int side = group.equals(mover.to()) ? 2 : group.equals(mover.from()) ? 0 : -1;
        if (side >= 0) {
            counts[4 * at + side]++;
            counts[4 * at + side + 1] += good ? 0 : 1;
            news = true;
        }
    }

    /**
     * What this gateway has to tell now, or null: the ack of its turn until the log has it, then
     * what it counted.
     */
    public MigrationEntry tells(double now) {
        if (!mayAct(now) || status.plan() == null) {
            return null;
        }
        if (!acked) {
            if (now - ackOffered < every) {
                return null;
            }
            ackOffered = now;
            return MigrationEntry.ack(self, status.turn(), now);
        }
        if (!news || now - reported < every || status.state() != MigrationState.State.FORWARD) {
            return null;
        }
        reported = now;
        news = false;
        return MigrationEntry.report(self, status.turn(), now, counts.clone());
    }
}
