package tinford.fleet.migration;

import java.util.Collection;
import java.util.Map;
import tinford.fleet.membership.Incarnation;

/**
 * The rules about when a change of position is due. {@link MigrationState} asks them in one place;
 * tests replace one at a time by a broken one.
 */
public class TransitionRules {
    /** One step at a time, in the direction that the moves have. */
    public boolean isNextStep(int from, int to, boolean back) {
        return to == (back ? from - 1 : from + 1);
    }

    /** An ack counts for the present position only. */
    public boolean isCurrentEpoch(long turn, long of) {
        return turn == of;
    }

    /**
     * Back to where the last change came from: whoever has not followed that change is there
     * already, so nobody is waited for.
     */
    public boolean isReturn(int before, int position, int to) {
        return before == to && before != position;
    }

    /**
     * Whether all who may have acted since that time had said by then that they act on the present
     * position.
     */
    public boolean allAcknowledged(
            LeaseHolders leaseHolders, Map<Incarnation, Double> acks, double since) {
        Collection<Incarnation> incarnations = leaseHolders.mayHaveActed(since);
        for (Incarnation incarnation : incarnations) {
            Double at = acks.get(incarnation);
            if (at == null || at > since) {
                return false;
            }
        }
        return true;
    }

    /**
     * How long after all have acknowledged the present position the next one may begin. Where
     * retries are told, none goes anywhere in either step of a change, so the wait is due at the
     * end; where they aren't, nothing goes in HOLD, so the wait is due there.
     */
    public double waitMs(MigrationPlan plan, int at, boolean back) {
        double most = 0;
        MigrationStep step = plan.steps.get(at);
        for (int i = 0; i < plan.frontends.size(); i++) {
            MigrationStep.Phase phase = step.frontends().get(i).phase();
            boolean told = plan.frontends.get(i).marksRetries();
            if (phase == MigrationStep.Phase.HOLD && (back || !told)
                    || phase == MigrationStep.Phase.OPEN && told && !back) {
                most = Math.max(most, plan.frontends.get(i).deduplicationMs());
            }
        }
        return most;
    }

    /** Whether the groups that are gone to can take their share with what of them is warm now. */
    public boolean hasCapacity(MigrationPlan plan, MigrationStep step, double[] warm) {
        int g = 0;
        for (Map.Entry<String, MigrationPlan.GroupCapacity> group : plan.groups.entrySet()) {
            double load = 0;
            for (int i = 0; i < plan.frontends.size(); i++) {
                if (plan.frontends.get(i).targetGroup().equals(group.getKey())) {
                    load += step.frontends().get(i).load() * plan.frontends.get(i).unitsPerSecond();
                }
            }
            MigrationPlan.GroupCapacity room = group.getValue();
            double hot =
                    g < warm.length ? Math.max(0, Math.min(warm[g], room.unitsPerSecond())) : 0;
            if (load > hot + room.coldShare() * (room.unitsPerSecond() - hot) + 1e-9) {
                return false;
            }
            g++;
        }
        return true;
    }

    /** A resume lifts the halt that its operator saw, once. */
    public boolean liftsHalt(boolean halted, long halts, long seen) {
        return halted && halts == seen;
    }

    /** What a resume alters of the position: nothing. */
    public int stepAfterResume(int position) {
        return position;
    }
}
