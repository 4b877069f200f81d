package tinford.fleet.migration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.api.RequestClass;

/**
 * A plan of a staged migration that conforms to {@link MigrationPlanRules}: at most {@link
 * #MAX_ITEMS} frontends, with at most as many shares each.
 */
public final class MigrationPlan {
    public static final int MAX_ITEMS = 64;

    /**
     * How one frontend migrates.
     *
     * @param dependencies frontends that have to be moved completely before this one begins
     * @param firstStage stage in which the frontend begins, from 1; 0 for as early as its
     *     dependencies allow
     * @param shares of its tenants that have moved after each of its stages, ascending; the last is
     *     1
     * @param unitsPerSecond that all of its tenants together may need
     * @param connections that all of its tenants together may need
     * @param idempotencyKeyed whether its requests carry idempotency keys
     * @param marksRetries whether its clients mark the requests that are retries
     * @param deduplicationMs how long after an attempt was sent the attempt may still be executed,
     *     or a retry still be dropped as a duplicate; 0 without idempotency keys
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
     * The load that a group can take in addition to the load that stays there.
     *
     * @param unitsPerSecond when its servers are warm
     * @param coldShare the share of these units that cold servers can take
     */
    public record GroupCapacity(double unitsPerSecond, int connections, double coldShare) {}

    /**
     * The settings against which a plan is checked.
     *
     * @param frontends that may migrate, by name
     * @param homeGroups the current group of each frontend
     * @param groups the capacity of each group, by name
     */
    public record ValidationContext(
            Map<String, RequestClass> frontends,
            Map<String, String> homeGroups,
            Map<String, GroupCapacity> groups) {}

    public final String name;

    /** How long a stage has to be observed before the next one begins. */
    public final double soakMs;

    /**
     * By how much the share of failed and late answers at the target group may exceed that at the
     * source group.
     */
    public final double failureMargin;

    /** Number of answers from which on a share of failures is evaluated. */
    public final int minAnswers;

    public final List<FrontendMigration> frontends;

    /** The target groups, by name. */
    public final TreeMap<String, GroupCapacity> groups;

    public final List<MigrationStep> steps;
    private final Map<String, Integer> indexes = new HashMap<>();

    /**
     * @throws PlanErrors.InvalidPlanException if the plan breaks a rule of {@link
     *     MigrationPlanRules}
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

    /** Index of a frontend in the plan; -1 if the plan doesn't contain it. */
    public int indexOf(String frontend) {
        return indexes.getOrDefault(frontend, -1);
    }
}
