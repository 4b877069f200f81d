package tinford.fleet.migration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.api.RequestClass;

/**
 * A plan of a staged migration, which obeys the rules of {@link MigrationPlanRules}: at most {@link
 * #MAX_ITEMS} frontends with as many shares each.
 */
public final class MigrationPlan {
    public static final int MAX_ITEMS = 64;

    /**
     * How one frontend migrates.
     *
     * @param dependencies frontends that have to move whole before this one begins
     * @param firstStage the stage in which it begins, from 1; 0 for as early as its dependencies
     *     allow
     * @param shares of its tenants that have moved after each stage, ascending, the last one 1
     * @param unitsPerSecond that all of it may need
     * @param marksRetries whether its clients say which requests are retries
     * @param deduplicationMs during which a request may still run, or its repeat would still be
     *     dropped; 0 without idempotency keys
     */
    public record FrontendMigration(
            String name,
            String sourceGroup,
            String targetGroup,
            List<String> dependencies,
            int firstStage,
            List<Double> shares,
            double unitsPerSecond,
            int connections,
            boolean idempotencyKeyed,
            boolean marksRetries,
            double deduplicationMs) {}

    /**
     * What a group can take in addition to the load that stays there.
     *
     * @param unitsPerSecond when warm
     * @param coldShare the part of them when cold
     */
    public record GroupCapacity(double unitsPerSecond, int connections, double coldShare) {}

    /**
     * What a plan is checked against.
     *
     * @param frontends that may migrate, by name
     * @param homeGroups the present group of each
     */
    public record ValidationContext(
            Map<String, RequestClass> frontends,
            Map<String, String> homeGroups,
            Map<String, GroupCapacity> groups) {}

    public final String name;

    /** How long a stage has to be observed before the next one begins. */
    public final double soakMs;

    /** By how much the share of failed and late answers may be higher at the target group. */
    public final double failureMargin;

    /** From how many answers on a share counts. */
    public final int minAnswers;

    public final List<FrontendMigration> frontends;

    /** The target groups, by name. */
    public final TreeMap<String, GroupCapacity> groups;

    public final List<MigrationStep> steps;
    private final Map<String, Integer> indexes = new HashMap<>();

    /**
     * @throws PlanErrors.InvalidPlanException the plan breaks a rule of form
     */
    public MigrationPlan(
            String name,
            double soakMs,
            double failureMargin,
            int minAnswers,
            List<FrontendMigration> frontends,
            Map<String, GroupCapacity> groups) {
        this.name = name;
        this.soakMs = soakMs;
        this.failureMargin = failureMargin;
        this.minAnswers = minAnswers;
        this.frontends = List.copyOf(frontends);
        this.groups = new TreeMap<>(groups);
        PlanErrors errors = new PlanErrors("plan", "");
        MigrationPlanRules.check(name, soakMs, failureMargin, minAnswers, frontends, errors);
        errors.throwIfAny();
        for (int i = 0; i < frontends.size(); i++) {
            indexes.put(frontends.get(i).name, i);
        }
        steps = MigrationStages.of(this);
    }

    /** Index of a frontend in the plan; -1 where the plan doesn't name it. */
    public int indexOf(String frontend) {
        return indexes.getOrDefault(frontend, -1);
    }
}
