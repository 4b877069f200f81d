package tinford.fleet.migration;

import java.util.List;

/**
 * One position of a plan: what share of each frontend's customers goes to its new group.
 *
 * @param stage counted from 1; 0 is where nothing has moved
 * @param lastOfStage of its stage: here it soaks
 */
public record MigrationStep(int stage, boolean lastOfStage, List<FrontendShare> frontends) {
    /** How the customers are treated who change their group in this stage. */
    public enum Phase {
        /** All have their group: below the share the new one. */
        SETTLED,
        /**
         * First tries still go to the old group, retries nowhere; where retries aren't told nothing
         * goes anywhere.
         */
        HOLD,
        /**
         * First tries go to the new group already, retries nowhere; where retries aren't told all
         * go to the new one.
         */
        OPEN
    }

    /**
     * Of one frontend: customers below {@code share} have moved, those from there to below {@code
     * until} are about to.
     */
    public record FrontendShare(double movedShare, double movingShare, Phase phase) {
        double load() {
            return phase == Phase.HOLD ? movedShare : movingShare;
        }
    }
}
