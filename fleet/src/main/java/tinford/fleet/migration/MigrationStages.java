package tinford.fleet.migration;

import java.util.ArrayList;
import java.util.List;

/**
 * The ordered positions of a plan. A frontend begins only in a stage after the one in which all
 * that it needs has moved whole; those that don't need each other share stages. A stage in which
 * uniqued frontends move has three steps, any other one.
 */
public final class MigrationStages {
    private MigrationStages() {}

    public static List<MigrationStep> of(MigrationPlan plan) {
        int[] begins = earliestStarts(plan.frontends);
        int most = 0;
        for (int i = 0; i < begins.length; i++) {
            begins[i] = Math.max(begins[i], plan.frontends.get(i).firstStage() - 1);
            most = Math.max(most, begins[i] + plan.frontends.get(i).shares().size());
        }
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(step(plan, begins, 0, MigrationStep.Phase.SETTLED));
        for (int stage = 1; stage <= most; stage++) {
            for (MigrationStep.Phase phase :
                    uniqued(plan, begins, stage)
                            ? new MigrationStep.Phase[] {
                                MigrationStep.Phase.HOLD,
                                MigrationStep.Phase.OPEN,
                                MigrationStep.Phase.SETTLED
                            }
                            : new MigrationStep.Phase[] {MigrationStep.Phase.SETTLED}) {
                steps.add(step(plan, begins, stage, phase));
            }
        }
        return List.copyOf(steps);
    }

    /**
     * After how many stages each may begin at the earliest, given where those that it needs begin.
     * Without circles only.
     */
    static int[] earliestStarts(List<MigrationPlan.FrontendMigration> movers) {
        int[] begins = new int[movers.size()];
        for (int round = 0;
                round < begins.length;
                round++) { // as many rounds as the longest chain can have links
            for (int i = 0; i < begins.length; i++) {
                for (int d = 0; d < begins.length; d++) {
                    MigrationPlan.FrontendMigration needed = movers.get(d);
                    if (movers.get(i).dependencies().contains(needed.name())) {
                        begins[i] =
                                Math.max(
                                        begins[i],
                                        Math.max(begins[d], needed.firstStage() - 1)
                                                + needed.shares().size());
                    }
                }
            }
        }
        return begins;
    }

    private static boolean uniqued(MigrationPlan plan, int[] begins, int stage) {
        for (int i = 0; i < begins.length; i++) {
            MigrationPlan.FrontendMigration m = plan.frontends.get(i);
            if (m.idempotencyKeyed()
                    && share(m, begins[i], stage) != share(m, begins[i], stage - 1)) {
                return true;
            }
        }
        return false;
    }

    private static MigrationStep step(
            MigrationPlan plan, int[] begins, int stage, MigrationStep.Phase phase) {
        List<MigrationStep.FrontendShare> parts = new ArrayList<>();
        for (int i = 0; i < begins.length; i++) {
            MigrationPlan.FrontendMigration m = plan.frontends.get(i);
            double to = share(m, begins[i], stage);
            double from =
                    m.idempotencyKeyed() && phase != MigrationStep.Phase.SETTLED
                            ? share(m, begins[i], stage - 1)
                            : to;
            parts.add(
                    new MigrationStep.FrontendShare(
                            from, to, from == to ? MigrationStep.Phase.SETTLED : phase));
        }
        return new MigrationStep(stage, phase == MigrationStep.Phase.SETTLED, List.copyOf(parts));
    }

    private static double share(MigrationPlan.FrontendMigration m, int begins, int stage) {
        int done = Math.min(stage - begins, m.shares().size());
        return done <= 0 ? 0 : m.shares().get(done - 1);
    }
}
