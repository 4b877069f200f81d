package tinford.fleet.migration;

import java.util.ArrayList;
import java.util.List;

/**
 * Derives the steps of a plan. A frontend begins in a stage after all frontends that it depends on
 * have moved completely; independent frontends move in the same stages. A stage in which frontends
 * with idempotency keys move has three steps, any other stage has one.
 */
public final class MigrationStages {
    private static final List<MigrationStep.Phase> KEYED_PHASES =
            List.of(
                    MigrationStep.Phase.HOLD,
                    MigrationStep.Phase.OPEN,
                    MigrationStep.Phase.SETTLED);
    private static final List<MigrationStep.Phase> PLAIN_PHASES =
            List.of(MigrationStep.Phase.SETTLED);

    private MigrationStages() {}

    /** Returns the steps of a plan; the first one is the state before any tenant has moved. */
    public static List<MigrationStep> of(MigrationPlan plan) {
        int[] starts = earliestStarts(plan.frontends);
        int stages = 0;
        for (int i = 0; i < starts.length; i++) {
            MigrationPlan.FrontendMigration frontend = plan.frontends.get(i);
            starts[i] = Math.max(starts[i], frontend.firstStage() - 1);
            stages = Math.max(stages, starts[i] + frontend.shares().size());
        }
        List<MigrationStep> steps = new ArrayList<>();
        steps.add(step(plan, starts, 0, MigrationStep.Phase.SETTLED));
        for (int stage = 1; stage <= stages; stage++) {
            boolean keyed = movesKeyedFrontend(plan, starts, stage);
            for (MigrationStep.Phase phase : keyed ? KEYED_PHASES : PLAIN_PHASES) {
                steps.add(step(plan, starts, stage, phase));
            }
        }
        return List.copyOf(steps);
    }

    /**
     * Returns for each frontend the number of stages after which it may begin at the earliest. The
     * dependencies must have no cycle.
     */
    static int[] earliestStarts(List<MigrationPlan.FrontendMigration> frontends) {
        int[] starts = new int[frontends.size()];
        // The longest chain of dependencies contains each frontend at most once, so that this many
        // rounds reach the last one.
        for (int round = 0; round < starts.length; round++) {
            for (int i = 0; i < starts.length; i++) {
                starts[i] = Math.max(starts[i], endOfDependencies(frontends, starts, i));
            }
        }
        return starts;
    }

    private static int endOfDependencies(
            List<MigrationPlan.FrontendMigration> frontends, int[] starts, int dependent) {
        List<String> dependencies = frontends.get(dependent).dependencies();
        int end = 0;
        for (int i = 0; i < starts.length; i++) {
            MigrationPlan.FrontendMigration frontend = frontends.get(i);
            if (dependencies.contains(frontend.name())) {
                int start = Math.max(starts[i], frontend.firstStage() - 1);
                end = Math.max(end, start + frontend.shares().size());
            }
        }
        return end;
    }

    private static boolean movesKeyedFrontend(MigrationPlan plan, int[] starts, int stage) {
        for (int i = 0; i < starts.length; i++) {
            MigrationPlan.FrontendMigration frontend = plan.frontends.get(i);
            if (frontend.idempotencyKeyed()
                    && share(frontend, starts[i], stage) != share(frontend, starts[i], stage - 1)) {
                return true;
            }
        }
        return false;
    }

    private static MigrationStep step(
            MigrationPlan plan, int[] starts, int stage, MigrationStep.Phase phase) {
        List<MigrationStep.FrontendShare> shares = new ArrayList<>();
        for (int i = 0; i < starts.length; i++) {
            shares.add(frontendShare(plan.frontends.get(i), starts[i], stage, phase));
        }
        boolean lastOfStage = phase == MigrationStep.Phase.SETTLED;
        return new MigrationStep(stage, lastOfStage, List.copyOf(shares));
    }

    private static MigrationStep.FrontendShare frontendShare(
            MigrationPlan.FrontendMigration frontend,
            int start,
            int stage,
            MigrationStep.Phase phase) {
        double target = share(frontend, start, stage);
        boolean movesInPhases = frontend.idempotencyKeyed() && phase != MigrationStep.Phase.SETTLED;
        double moved = movesInPhases ? share(frontend, start, stage - 1) : target;
        return new MigrationStep.FrontendShare(
                moved, target, moved == target ? MigrationStep.Phase.SETTLED : phase);
    }

    /** The share of a frontend's tenants that has moved at the end of a stage. */
    private static double share(MigrationPlan.FrontendMigration frontend, int start, int stage) {
        int completed = Math.min(stage - start, frontend.shares().size());
        return completed <= 0 ? 0 : frontend.shares().get(completed - 1);
    }
}
