package tinford.fleet.migration;

import java.util.List;

/**
 * One step of a plan: which share of each frontend's tenants goes to its target group.
 *
 * @param stage counted from 1; 0 is the stage before any tenant has moved
 * @param lastOfStage whether the migration soaks in this step
 * @param frontends in the plan's order
 */
public record MigrationStep(int stage, boolean lastOfStage, List<FrontendShare> frontends) {
    /** How the tenants that change their group in this stage are routed. */
    public enum Phase {
        /** Each tenant has its group: below the moved share the target, above it the source. */
        SETTLED,

        /**
         * First attempts of moving tenants still go to the source group, and retries nowhere. Where
         * clients don't mark retries, nothing of these tenants goes anywhere.
         */
        HOLD,

        /**
         * First attempts of moving tenants go to the target group, and retries nowhere. Where
         * clients don't mark retries, all go to the target group.
         */
        OPEN
    }

    /**
     * Shares of one frontend's tenants.
     *
     * @param movedShare tenants below it have moved
     * @param movingShare tenants from {@code movedShare} to below this one are moving
     */
    public record FrontendShare(double movedShare, double movingShare, Phase phase) {
        /** The share of the frontend's load that the target group has to bear. */
        double loadShare() {
            return phase == Phase.HOLD ? movedShare : movingShare;
        }
    }
}
