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
    public boolean next(int from, int to, boolean back) {
        return to == (back ? from - 1 : from + 1);
    }

    /** An ack counts for the present position only. */
    public boolean counts(long turn, long of) {
        return turn == of;
    }

    /**
     * Back to where the last change came from: whoever has not followed that change is there
     * already, so nobody is waited for.
     */
    public boolean returns(int before, int position, int to) {
        return before == to && before != position;
    }

    /**
     * Whether all who may have acted since that time had said by then that they act on the present
     * position.
     */
    public boolean acked(LeaseHolders leaseHolders, Map<Incarnation, Double> acks, double since) {
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
    public double waits(MigrationPlan plan, int at, boolean back) {
        double most = 0;
        MigrationStep step = plan.steps.get(at);
        for (int i = 0; i < plan.frontends.size(); i++) {
            MigrationStep.Phase phase = step.parts().get(i).phase();
            boolean told = plan.frontends.get(i).told();
            if (phase == MigrationStep.Phase.HOLD && (back || !told)
                    || phase == MigrationStep.Phase.OPEN && told && !back) {
                most = Math.max(most, plan.frontends.get(i).held());
            }
        }
        return most;
    }

    /** Whether the groups that are gone to can take their share with what of them is warm now. */
    public boolean fits(MigrationPlan plan, MigrationStep step, double[] warm) {
        int g = 0;
        for (Map.Entry<String, MigrationPlan.Room> group : plan.groups.entrySet()) {
            double load = 0;
            for (int i = 0; i < plan.frontends.size(); i++) {
                if (plan.frontends.get(i).to().equals(group.getKey())) {
                    load += step.parts().get(i).load() * plan.frontends.get(i).units();
                }
            }
            MigrationPlan.Room room = group.getValue();
            double hot = g < warm.length ? Math.max(0, Math.min(warm[g], room.units())) : 0;
            if (load > hot + room.coldPart() * (room.units() - hot) + 1e-9) {
                return false;
            }
            g++;
        }
        return true;
    }

    /** A resume lifts the halt that its operator saw, once. */
    public boolean lifts(boolean halted, long halts, long seen) {
        return halted && halts == seen;
    }

    /** What a resume alters of the position: nothing. */
    public int resumed(int position) {
        return position;
    }
}
