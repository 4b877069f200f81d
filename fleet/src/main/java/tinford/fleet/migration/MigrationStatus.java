package tinford.fleet.migration;

import java.util.Map;

/**
 * The status of the moves after some entry.
 *
 * @param epoch rises with each change of position, over all plans
 * @param homeGroups where each frontend that may move lives when no plan is about it
 */
public record MigrationStatus(
        MigrationState.State state,
        boolean reverting,
        long epoch,
        int stepIndex,
        MigrationPlan plan,
        Map<String, String> homeGroups) {
    public MigrationStep currentStep() {
        return plan == null ? null : plan.steps.get(stepIndex);
    }
}
