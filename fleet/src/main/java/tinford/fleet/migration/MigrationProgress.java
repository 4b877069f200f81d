package tinford.fleet.migration;

import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.membership.Incarnation;

/** The replicated data of {@link MigrationState}. Times are in ms of the log's time. */
final class MigrationProgress {
    MigrationState.State state = MigrationState.State.IDLE;

    /** Whether the steps are taken in reverse order. */
    boolean reverting;

    /** Incremented with each change of the step, over all plans. */
    long epoch;

    int stepIndex;

    /** The step of the previous epoch; returning to it is safe without waiting. */
    int previousStep;

    /** The last plan that was begun; null before the first. */
    MigrationPlan plan;

    /** Number of halts so far, over all plans. */
    long haltCount;

    double stepStartedMs;

    /** The log's time: the latest time stamp of any entry. */
    double logTimeMs;

    /** By frontend: the last measured share of failed and late answers at the source group. */
    double[] baselineFailureShares = {};

    /** The group of each frontend before the current plan. */
    final TreeMap<String, String> homeGroups;

    /** When each incarnation acknowledged the current epoch. */
    final TreeMap<Incarnation, Double> acknowledgements;

    /** The latest outcome counts of each incarnation in the current epoch. */
    final TreeMap<Incarnation, long[]> reports;

    MigrationProgress(Map<String, String> homeGroups) {
        this.homeGroups = new TreeMap<>(homeGroups);
        this.acknowledgements = new TreeMap<>();
        this.reports = new TreeMap<>();
    }

    /** Creates an independent copy. Plans and reported counts are immutable, so they are shared. */
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

    boolean isInProgress() {
        return state == MigrationState.State.FORWARD || state == MigrationState.State.BACK;
    }

    /** Changes to a step and starts a new epoch. */
    void changeStep(int step) {
        previousStep = stepIndex;
        stepIndex = step;
        epoch++;
        stepStartedMs = logTimeMs;
        acknowledgements.clear();
        reports.clear();
    }
}
