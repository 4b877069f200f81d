package tinford.fleet.migration;

import java.util.HashMap;
import java.util.Map;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;

/**
 * Routes the requests of frontends that may migrate in one gateway, and creates the entries that
 * this gateway appends: acknowledgements and reports. Called on the I/O thread only. Status and
 * lease come from entries that were applied in order, so a lease is never used with a status that
 * is older than its grant. Times are in ms of the gateway's own clock.
 */
public class MigrationRouter {
    private static final int COUNTS_PER_FRONTEND = 4;
    private static final int SOURCE_COUNTS = 0;
    private static final int TARGET_COUNTS = 2;

    private final Incarnation self;
    private final double entryIntervalMs;
    private final Map<String, Integer> salts = new HashMap<>();
    private MigrationStatus status;
    private Lease lease;
    private boolean acknowledged;
    private double lastAcknowledgementMs = Double.NEGATIVE_INFINITY;
    private double lastReportMs = Double.NEGATIVE_INFINITY;

    /** By frontend: answers and failures of the source group, then of the target group. */
    private long[] outcomeCounts = new long[0];

    private boolean hasUnreportedCounts;

    /**
     * @param entryIntervalMs minimum time between reports, and time after which an acknowledgement
     *     that is not in the log is appended again
     */
    public MigrationRouter(Incarnation self, MigrationStatus initial, double entryIntervalMs) {
        this.self = self;
        this.entryIntervalMs = entryIntervalMs;
        initial.homeGroups().keySet().forEach(name -> salts.put(name, name.hashCode()));
        update(initial, null, false);
    }

    /**
     * To be called after each applied entry.
     *
     * @param ownLease the lease of this incarnation, or null
     * @param isAcknowledged whether this incarnation's acknowledgement of the epoch is in the log
     */
    public void update(MigrationStatus newStatus, Lease ownLease, boolean isAcknowledged) {
        if (status == null || status.epoch() != newStatus.epoch()) {
            startEpoch(newStatus.plan());
        }
        this.status = newStatus;
        this.lease = ownLease;
        this.acknowledged = isAcknowledged;
    }

    private void startEpoch(MigrationPlan plan) {
        outcomeCounts = new long[plan == null ? 0 : COUNTS_PER_FRONTEND * plan.frontends.size()];
        hasUnreportedCounts = false;
        lastAcknowledgementMs = Double.NEGATIVE_INFINITY;
        lastReportMs = Double.NEGATIVE_INFINITY;
    }

    /**
     * Whether a request may be sent to a group now. Without a lease that is valid by its own clock
     * a gateway sends no request of a frontend that may migrate. All requests of one tenant and
     * frontend change groups together, so every gateway routes a retry to the same group.
     *
     * @param isRetry whether the client marks the request as a retry
     * @param earlierGroup where an earlier attempt of this request may have run, or null
     */
    public boolean mayRoute(
            String frontend,
            long tenant,
            boolean isRetry,
            String group,
            String earlierGroup,
            double nowMs) {
        Integer salt = salts.get(frontend);
        if (salt == null) {
            return true;
        }
        if (!hasLease(nowMs)) {
            return false;
        }
        int index = planIndex(frontend);
        if (index < 0) {
            return group.equals(status.homeGroups().get(frontend));
        }
        MigrationPlan.FrontendMigration migration = status.plan().frontends.get(index);
        if (migration.idempotencyKeyed() && earlierGroup != null) {
            return group.equals(earlierGroup);
        }
        MigrationStep.FrontendShare share = status.currentStep().frontends().get(index);
        return group.equals(targetGroup(migration, share, tenantFraction(tenant, salt), isRetry));
    }

    private int planIndex(String frontend) {
        return status.plan() == null ? -1 : status.plan().indexOf(frontend);
    }

    /** Whether this gateway's lease is valid, by its own clock. */
    public boolean hasLease(double nowMs) {
        return lease != null && lease.isHeldAt(nowMs);
    }

    /**
     * Returns the group that a tenant's request goes to; null if it may go to no group now.
     *
     * @param tenantFraction see {@link #tenantFraction}
     */
    protected String targetGroup(
            MigrationPlan.FrontendMigration migration,
            MigrationStep.FrontendShare share,
            double tenantFraction,
            boolean isRetry) {
        if (tenantFraction < share.movedShare()) {
            return migration.targetGroup();
        }
        if (tenantFraction >= share.movingShare()) {
            return migration.sourceGroup();
        }
        if (share.phase() == MigrationStep.Phase.HOLD) {
            return migration.marksRetries() && !isRetry ? migration.sourceGroup() : null;
        }
        return migration.marksRetries() && isRetry ? null : migration.targetGroup();
    }

    /**
     * Hashes a tenant to a number from 0 to below 1 that is the same at every gateway. A share of
     * the tenants consists of those whose number is below it.
     */
    public static double tenantFraction(long tenant, int salt) {
        long hash = tenant * 0x9E3779B97F4A7C15L + salt * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return ((hash ^ hash >>> 31) >>> 11) * 0x1p-53;
    }

    /**
     * Counts the outcome of an attempt that was sent to a server of a group.
     *
     * @param success false for an attempt that failed or was late
     */
    public void recordAnswer(String frontend, String group, boolean success) {
        int index = planIndex(frontend);
        if (index < 0) {
            return;
        }
        MigrationPlan.FrontendMigration migration = status.plan().frontends.get(index);
        if (group.equals(migration.targetGroup())) {
            count(index, TARGET_COUNTS, success);
        } else if (group.equals(migration.sourceGroup())) {
            count(index, SOURCE_COUNTS, success);
        }
    }

    private void count(int frontend, int groupCounts, boolean success) {
        int index = COUNTS_PER_FRONTEND * frontend + groupCounts;
        outcomeCounts[index]++;
        outcomeCounts[index + 1] += success ? 0 : 1;
        hasUnreportedCounts = true;
    }

    /**
     * Returns the entry that this gateway has to append now, or null: the acknowledgement of the
     * epoch until the log contains it, then reports of outcomes.
     */
    public MigrationEntry nextEntry(double nowMs) {
        if (!hasLease(nowMs) || status.plan() == null) {
            return null;
        }
        return acknowledged ? nextReport(nowMs) : nextAcknowledgement(nowMs);
    }

    private MigrationEntry nextAcknowledgement(double nowMs) {
        if (nowMs - lastAcknowledgementMs < entryIntervalMs) {
            return null;
        }
        lastAcknowledgementMs = nowMs;
        return MigrationEntry.ack(self, status.epoch(), nowMs);
    }

    private MigrationEntry nextReport(double nowMs) {
        if (!hasUnreportedCounts
                || nowMs - lastReportMs < entryIntervalMs
                || status.state() != MigrationState.State.FORWARD) {
            return null;
        }
        lastReportMs = nowMs;
        hasUnreportedCounts = false;
        return MigrationEntry.report(self, status.epoch(), nowMs, outcomeCounts.clone());
    }
}
