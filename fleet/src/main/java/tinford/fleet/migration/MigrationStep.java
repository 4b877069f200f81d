package tinford.fleet.migration;

import java.util.List;

/**
 * A step of a plan: the share of each frontend's tenants that is routed to its target group.
 *
 * @param stage number of the stage, from 1; 0 for the step before any tenant has moved
 * @param lastOfStage whether this step completes its stage; the migration soaks in it
 * @param frontends shares of the plan's frontends, in its order
 */
public record MigrationStep(int stage, boolean lastOfStage, List<FrontendShare> frontends) {
    /** How the tenants that change their group in the stage are routed. */
    public enum Phase {
        /** No tenant is moving: those below the moved share are in the target group. */
        SETTLED,

        /**
         * First attempts of moving tenants still go to the source group, and retries are not
         * routed. If clients don't mark retries, no request of these tenants is routed.
         */
        HOLD,

        /**
         * First attempts of moving tenants go to the target group, and retries are not routed. If
         * clients don't mark retries, all requests of these tenants go to the target group.
         */
        OPEN
    }

    /**
     * Shares of one frontend's tenants.
     *
     * @param movedShare tenants whose fraction is below it have moved
     * @param movingShare tenants whose fraction is from {@code movedShare} to below this are moving
     */
    public record FrontendShare(double movedShare, double movingShare, Phase phase) {
        /** The share of the frontend's load that the target group has to take in this step. */
        double loadShare() {
            return phase == Phase.HOLD ? movedShare : movingShare;
        }
    }
}
