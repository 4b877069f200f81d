package tinford.fleet.migration;

import java.util.Map;

/**
 * Status of the migration after some entry of the log.
 *
 * @param reverting whether the steps are taken backwards
 * @param epoch rises with each change of the step, over all plans
 * @param stepIndex of the present step in the plan
 * @param plan the last one begun; null before the first
 * @param homeGroups the group of each frontend that may migrate and that the plan doesn't name
 */
public record MigrationStatus(
        MigrationState.State state,
        boolean reverting,
        long epoch,
        int stepIndex,
        MigrationPlan plan,
        Map<String, String> homeGroups) {
    /** The present step; null where there is no plan. */
    public MigrationStep currentStep() {
        return plan == null ? null : plan.steps.get(stepIndex);
    }
}
