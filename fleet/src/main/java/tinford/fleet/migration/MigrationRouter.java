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
        first.homeGroups().keySet().forEach(name -> salts.put(name, name.hashCode()));
        update(first, null, false);
    }

    /**
     * After each applied entry: the status of the moves, the own lease if any, and whether the log
     * has this incarnation's ack of this turn.
     */
    public void update(MigrationStatus now, Lease own, boolean acked) {
        if (status == null || status.epoch() != now.epoch()) {
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
    public boolean mayRoute(
            String frontend, long customer, boolean retry, String group, String first, double now) {
        Integer salt = salts.get(frontend);
        if (salt == null) {
            return true;
        }
        if (!hasLease(now)) {
            return false;
        }
        int at = status.plan() == null ? -1 : status.plan().indexOf(frontend);
        if (at < 0) {
            return group.equals(status.homeGroups().get(frontend));
        }
        MigrationPlan.FrontendMigration mover = status.plan().frontends.get(at);
        if (mover.idempotencyKeyed() && first != null) {
            return group.equals(first);
        }
        MigrationStep.FrontendShare part = status.currentStep().frontends().get(at);
        return group.equals(targetGroup(mover, part, tenantFraction(customer, salt), retry));
    }

    /** By its own clock. */
    public boolean hasLease(double now) {
        return lease != null && lease.isHeldAt(now);
    }

    /** The group, or null for neither. */
    protected String targetGroup(
            MigrationPlan.FrontendMigration mover,
            MigrationStep.FrontendShare part,
            double at,
            boolean retry) {
        if (at < part.movedShare()) {
            return mover.targetGroup();
        }
        if (at >= part.movingShare()) {
            return mover.sourceGroup();
        }
        if (part.phase() == MigrationStep.Phase.HOLD) {
            return mover.marksRetries() && !retry ? mover.sourceGroup() : null;
        }
        return mover.marksRetries() && retry ? null : mover.targetGroup();
    }

    /** From 0 to below 1, the same at every gateway. */
    public static double tenantFraction(long customer, int salt) {
        long x = customer * 0x9E3779B97F4A7C15L + salt * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return ((x ^ x >>> 31) >>> 11) * 0x1p-53;
    }

    /** An answer of a server of that group came, or failed to; late ones count as bad. */
    public void recordAnswer(String frontend, String group, boolean good) {
        int at = status.plan() == null ? -1 : status.plan().indexOf(frontend);
        if (at < 0) {
            return;
        }
        MigrationPlan.FrontendMigration mover = status.plan().frontends.get(at);
        int side =
                group.equals(mover.targetGroup()) ? 2 : group.equals(mover.sourceGroup()) ? 0 : -1;
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
    public MigrationEntry nextEntry(double now) {
        if (!hasLease(now) || status.plan() == null) {
            return null;
        }
        if (!acked) {
            if (now - ackOffered < every) {
                return null;
            }
            ackOffered = now;
            return MigrationEntry.ack(self, status.epoch(), now);
        }
        if (!news || now - reported < every || status.state() != MigrationState.State.FORWARD) {
            return null;
        }
        reported = now;
        news = false;
        return MigrationEntry.report(self, status.epoch(), now, counts.clone());
    }
}
