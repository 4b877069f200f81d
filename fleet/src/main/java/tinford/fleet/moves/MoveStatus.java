package tinford.fleet.moves;

import java.util.Map;

/**
 * The status of the moves after some entry.
 *
 * @param turn rises with each change of position, over all plans
 * @param homes where each frontend that may move lives when no plan is about it
 */
public record MoveStatus(
        Moves.State state,
        boolean back,
        long turn,
        int position,
        Plan plan,
        Map<String, String> homes) {
    public Step step() {
        return plan == null ? null : plan.steps.get(position);
    }
}
