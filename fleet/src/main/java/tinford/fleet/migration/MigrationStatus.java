package tinford.fleet.migration;

import java.util.Map;

/**
 * Status of the migration after an entry of the log.
 *
 * @param reverting whether the steps are taken in reverse order
 * @param epoch incremented with each change of the step, over all plans
 * @param stepIndex index of the current step in the plan
 * @param plan the last one that was begun; null before the first
 * @param homeGroups the group of each frontend that may migrate, as it was before the plan
 */
public record MigrationStatus(
        MigrationState.State state,
        boolean reverting,
        long epoch,
        int stepIndex,
        MigrationPlan plan,
        Map<String, String> homeGroups) {
    /** The current step; null if there is no plan. */
    public MigrationStep currentStep() {
        return plan == null ? null : plan.steps.get(stepIndex);
    }
}
