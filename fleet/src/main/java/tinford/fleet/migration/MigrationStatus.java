package tinford.fleet.migration;

import java.util.Map;

/**
 * The status of the moves after some entry.
 *
 * @param turn rises with each change of position, over all plans
 * @param homes where each frontend that may move lives when no plan is about it
 */
public record MigrationStatus(
        MigrationState.State state,
        boolean back,
        long turn,
        int position,
        MigrationPlan plan,
        Map<String, String> homes) {
    public MigrationStep step() {
        return plan == null ? null : plan.steps.get(position);
    }
}
