package tinford.fleet.migration;

import java.util.Collection;
import java.util.Map;
import tinford.fleet.membership.Incarnation;

/**
 * The rules that decide when a step may be taken. Only {@link MigrationState} applies them; they
 * are separate so that tests can replace single rules by faulty ones.
 */
public class TransitionRules {
    private static final double LOAD_TOLERANCE = 1e-9;

    /** Whether a step is the next one in the direction of the migration; no step is skipped. */
    public boolean isNextStep(int from, int to, boolean reverting) {
        return to == (reverting ? from - 1 : from + 1);
    }

    /** Whether an acknowledgement counts: it must be of the current epoch. */
    public boolean isCurrentEpoch(long currentEpoch, long acknowledgedEpoch) {
        return currentEpoch == acknowledgedEpoch;
    }

    /**
     * Whether the next step returns to the previous one. A gateway that has not followed the last
     * step is still in the previous one, so no acknowledgements are needed.
     */
    public boolean isReturn(int previousStep, int step, int nextStep) {
        return previousStep == nextStep && previousStep != step;
    }

    /**
     * Whether all incarnations that may have acted since a time had acknowledged the current step
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
     * How long after all have acknowledged a step the next one may be taken, so that no request of
     * a moving tenant can be executed by both groups. If clients mark retries, these are not routed
     * in HOLD or OPEN, so the wait is at the end of the two. If clients don't, no request is routed
     * in HOLD, so the wait is there.
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
     * Whether the target groups have capacity for their load in a step.
     *
     * @param warmUnits warm capacity of each target group, in order of the groups' names, in units
     *     per second
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

    /** Units per second that the frontends send to a target group in a step. */
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

    /**
     * Whether a resume lifts the halt: only the halt that the operator saw is lifted, so that a
     * repeated or delayed command does not lift a later one.
     */
    public boolean liftsHalt(boolean halted, long haltCount, long seenHaltCount) {
        return halted && haltCount == seenHaltCount;
    }

    /** The step after a resume: the one at which the migration was halted. */
    public int stepAfterResume(int stepIndex) {
        return stepIndex;
    }
}
