package tinford.fleet.migration;

import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.membership.Incarnation;

/** The replicated data of {@link MigrationState}; times are in ms of the log. */
final class MigrationProgress {
    MigrationState.State state = MigrationState.State.IDLE;

    /** Whether the steps are taken backwards. */
    boolean reverting;

    /** Rises with each change of the step, over all plans. */
    long epoch;

    int stepIndex;

    /** The step of the epoch before, to which a return is harmless at once. */
    int previousStep;

    /** Null before the first plan. */
    MigrationPlan plan;

    long haltCount;
    double stepStartedMs;

    /** The latest time stamp of any entry. */
    double logTimeMs;

    /** By frontend: the share of failed and late answers at the source group. */
    double[] baselineFailureShares = {};

    /** The group of each frontend, but for what the present plan moves. */
    final TreeMap<String, String> homeGroups;

    /** When each incarnation acknowledged the present epoch. */
    final TreeMap<Incarnation, Double> acknowledgements;

    /** The latest outcome counts of each incarnation in the present epoch. */
    final TreeMap<Incarnation, long[]> reports;

    MigrationProgress(Map<String, String> homeGroups) {
        this.homeGroups = new TreeMap<>(homeGroups);
        this.acknowledgements = new TreeMap<>();
        this.reports = new TreeMap<>();
    }

    /** An independent copy; plans and reported counts are never changed, and are shared. */
    MigrationProgress(MigrationProgress other) {
        this.homeGroups = new TreeMap<>(other.homeGroups);
        this.acknowledgements = new TreeMap<>(other.acknowledgements);
        this.reports = new TreeMap<>(other.reports);
        this.state = other.state;
        this.reverting = other.reverting;
        this.epoch = other.epoch;
        this.stepIndex = other.stepIndex;
        this.previousStep = other.previousStep;
        this.plan = other.plan;
        this.haltCount = other.haltCount;
        this.stepStartedMs = other.stepStartedMs;
        this.logTimeMs = other.logTimeMs;
        this.baselineFailureShares = other.baselineFailureShares.clone();
    }

    boolean isMoving() {
        return state == MigrationState.State.FORWARD || state == MigrationState.State.BACK;
    }

    /** Goes to a step and starts a new epoch. */
    void goTo(int step) {
        previousStep = stepIndex;
        stepIndex = step;
        epoch++;
        stepStartedMs = logTimeMs;
        acknowledgements.clear();
        reports.clear();
    }
}
