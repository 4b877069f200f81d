package tinford.fleet.migration;

import java.util.Collection;
import java.util.Map;
import tinford.fleet.membership.Incarnation;

/**
 * The rules that say when a step may be taken. {@link MigrationState} applies them in one place;
 * tests replace one at a time by a broken one.
 */
public class TransitionRules {
    private static final double LOAD_TOLERANCE = 1e-9;

    /** One step at a time, in the direction of the migration. */
    public boolean isNextStep(int from, int to, boolean reverting) {
        return to == (reverting ? from - 1 : from + 1);
    }

    /** An acknowledgement counts for the present epoch only. */
    public boolean isCurrentEpoch(long currentEpoch, long acknowledgedEpoch) {
        return currentEpoch == acknowledgedEpoch;
    }

    /**
     * Whether a step leads back to where the last one came from. A gateway that has not followed
     * the last step is there already, so no acknowledgement is waited for.
     */
    public boolean isReturn(int previousStep, int step, int nextStep) {
        return previousStep == nextStep && previousStep != step;
    }

    /**
     * Whether all incarnations that may have acted since a time had acknowledged the present step
     * by then.
     */
    public boolean allAcknowledged(
            LeaseHolders leaseHolders, Map<Incarnation, Double> acknowledgements, double sinceMs) {
        Collection<Incarnation> incarnations = leaseHolders.mayHaveActed(sinceMs);
        for (Incarnation incarnation : incarnations) {
            Double acknowledgedMs = acknowledgements.get(incarnation);
            if (acknowledgedMs == null || acknowledgedMs > sinceMs) {
                return false;
            }
        }
        return true;
    }

    /**
     * How long after all have acknowledged a step the next one may be taken. Where clients mark
     * retries, none goes anywhere in either step of a change, so the wait is due at its end; where
     * they don't, nothing goes anywhere in HOLD, so the wait is due there.
     */
    public double waitMs(MigrationPlan plan, int stepIndex, boolean reverting) {
        double waitMs = 0;
        MigrationStep step = plan.steps.get(stepIndex);
        for (int i = 0; i < plan.frontends.size(); i++) {
            MigrationPlan.FrontendMigration frontend = plan.frontends.get(i);
            MigrationStep.Phase phase = step.frontends().get(i).phase();
            boolean marksRetries = frontend.marksRetries();
            if (phase == MigrationStep.Phase.HOLD && (reverting || !marksRetries)
                    || phase == MigrationStep.Phase.OPEN && marksRetries && !reverting) {
                waitMs = Math.max(waitMs, frontend.deduplicationMs());
            }
        }
        return waitMs;
    }

    /**
     * Whether the target groups can bear their load of a step.
     *
     * @param warmUnits warm capacity of each target group, by name, units a second
     */
    public boolean hasCapacity(MigrationPlan plan, MigrationStep step, double[] warmUnits) {
        int index = 0;
        for (Map.Entry<String, MigrationPlan.GroupCapacity> group : plan.groups.entrySet()) {
            MigrationPlan.GroupCapacity capacity = group.getValue();
            double reportedUnits = index < warmUnits.length ? warmUnits[index] : 0;
            double warm = Math.max(0, Math.min(reportedUnits, capacity.unitsPerSecond()));
            double cold = capacity.coldShare() * (capacity.unitsPerSecond() - warm);
            if (load(plan, step, group.getKey()) > warm + cold + LOAD_TOLERANCE) {
                return false;
            }
            index++;
        }
        return true;
    }

    /** Units a second that the frontends send to a target group in a step. */
    private static double load(MigrationPlan plan, MigrationStep step, String group) {
        double load = 0;
        for (int i = 0; i < plan.frontends.size(); i++) {
            MigrationPlan.FrontendMigration frontend = plan.frontends.get(i);
            if (frontend.targetGroup().equals(group)) {
                load += step.frontends().get(i).loadShare() * frontend.unitsPerSecond();
            }
        }
        return load;
    }

    /** A resume lifts the halt that its operator saw, once. */
    public boolean liftsHalt(boolean halted, long haltCount, long seenHaltCount) {
        return halted && haltCount == seenHaltCount;
    }

    /** The step after a resume: the same one. */
    public int stepAfterResume(int stepIndex) {
        return stepIndex;
    }
}
