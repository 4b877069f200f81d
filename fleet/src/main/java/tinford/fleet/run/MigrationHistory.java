package tinford.fleet.run;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.migration.MigrationStep;

/**
 * Writes the changes of the lease and of the migration into the history and the log, in the order
 * in which this process acts on them.
 */
final class MigrationHistory {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");

    private final MigrationState state;
    private final Incarnation incarnation;
    private final HistoryWriter history;

    /** As of the last update; null before the first. */
    private MigrationStatus lastStatus;

    private double lastExpiryMs = Double.NaN;
    private boolean hadLease;
    private long acknowledgedEpoch = -1;

    MigrationHistory(MigrationState state, Incarnation incarnation, HistoryWriter history) {
        this.state = state;
        this.incarnation = incarnation;
        this.history = history;
    }

    /**
     * Writes what has changed since the last call.
     *
     * @param lease the own one, or null
     */
    void update(Lease lease, double nowMs) {
        boolean regainedLease = updateLease(lease, nowMs);
        MigrationStatus status = state.status();
        boolean changed =
                lastStatus == null
                        || lastStatus.epoch() != status.epoch()
                        || lastStatus.state() != status.state()
                        || lastStatus.plan() != status.plan();
        if (status.plan() != null && (changed || regainedLease)) {
            writeStep(status, changed, nowMs);
        }
        lastStatus = status;
        if (status.plan() != null
                && state.hasAcknowledged(incarnation)
                && acknowledgedEpoch != status.epoch()) {
            acknowledgedEpoch = status.epoch();
            writeAcknowledgement(status, nowMs);
        }
    }

    /** Returns whether a lease is held that was not held before. */
    private boolean updateLease(Lease lease, double nowMs) {
        boolean hasLease = lease != null && lease.isHeldAt(nowMs);
        double expiryMs = hasLease ? lease.expiresAtMs() : 0;
        boolean regained = hasLease && !hadLease;
        if (expiryMs != lastExpiryMs) {
            double remainingMs = hasLease ? expiryMs - nowMs : 0;
            history.add(nowMs, "term", "holds", hasLease, "for", remainingMs);
            lastExpiryMs = expiryMs;
            hadLease = hasLease;
        }
        return regained;
    }

    private void writeAcknowledgement(MigrationStatus status, double nowMs) {
        history.add(
                nowMs,
                "acked",
                "move",
                status.plan().name,
                "turn",
                status.epoch(),
                "stage",
                status.stepIndex());
    }

    private void writeStep(MigrationStatus status, boolean changed, double nowMs) {
        if (isNewPlan(status)) {
            writePlan(status.plan(), nowMs);
        }
        List<String> begun = new ArrayList<>();
        List<String> moved = new ArrayList<>();
        for (int i = 0; i < status.plan().frontends.size(); i++) {
            String name = status.plan().frontends.get(i).name();
            MigrationStep.FrontendShare share = status.currentStep().frontends().get(i);
            if (share.movingShare() > 0) {
                begun.add(name);
            }
            if (share.movedShare() >= 1) {
                moved.add(name);
            }
        }
        writeStage(status, begun, moved, nowMs);
        if (changed) {
            logStep(status);
            if (isFinished(status)) {
                writeEnd(status, moved, nowMs);
            }
        }
    }

    private boolean isNewPlan(MigrationStatus status) {
        return lastStatus == null
                || lastStatus.plan() == null
                || !lastStatus.plan().name.equals(status.plan().name);
    }

    private static boolean isFinished(MigrationStatus status) {
        return status.state() == MigrationState.State.DONE
                || status.state() == MigrationState.State.UNDONE;
    }

    private void writePlan(MigrationPlan plan, double nowMs) {
        for (MigrationPlan.FrontendMigration frontend : plan.frontends) {
            history.add(
                    nowMs,
                    "plan",
                    "move",
                    plan.name,
                    "frontend",
                    frontend.name(),
                    "needs",
                    frontend.dependencies());
        }
    }

    private void writeStage(
            MigrationStatus status, List<String> begun, List<String> moved, double nowMs) {
        history.add(
                nowMs,
                "stage",
                "move",
                status.plan().name,
                "stage",
                status.stepIndex(),
                "turn",
                status.epoch(),
                "state",
                status.state().name(),
                "begun",
                begun,
                "moved",
                moved);
    }

    private void writeEnd(MigrationStatus status, List<String> moved, double nowMs) {
        history.add(
                nowMs,
                "moved",
                "move",
                status.plan().name,
                "state",
                status.state().name(),
                "moved",
                moved);
    }

    private void logStep(MigrationStatus status) {
        LOG.log(
                Level.INFO,
                "migration step changed plan="
                        + status.plan().name
                        + " state="
                        + status.state()
                        + " step="
                        + status.stepIndex()
                        + " entry="
                        + state.lastOutcome());
    }
}
