package tinford.fleet.migration;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The rules for a plan that can be checked without the settings of the gateway. */
final class MigrationPlanRules {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_STAGE = 1000;
    private static final double MAX_DURATION_MS = 1e9;
    private static final double MAX_UNITS_PER_SECOND = 1e12;

    private final List<MigrationPlan.FrontendMigration> frontends;
    private final Map<String, MigrationPlan.FrontendMigration> byName = new LinkedHashMap<>();
    private final PlanErrors errors;

    private MigrationPlanRules(List<MigrationPlan.FrontendMigration> frontends, PlanErrors errors) {
        this.frontends = frontends;
        this.errors = errors;
    }

    /** Adds an error for each rule that the plan breaks. */
    static void check(
            String name,
            double soakMs,
            double failureMargin,
            int minAnswers,
            List<MigrationPlan.FrontendMigration> frontends,
            PlanErrors errors) {
        MigrationPlanRules rules = new MigrationPlanRules(frontends, errors);
        rules.checkPlan(name, soakMs, failureMargin, minAnswers);
        for (int i = 0; i < frontends.size(); i++) {
            rules.checkFrontend(i);
        }
        for (int i = 0; i < frontends.size(); i++) {
            rules.checkDependencies(i);
        }
        if (errors.isEmpty()) {
            rules.checkFirstStages();
        }
    }

    private void checkPlan(String name, double soakMs, double failureMargin, int minAnswers) {
        errors.require(
                !name.isEmpty() && name.length() <= MAX_NAME_LENGTH,
                PlanErrors.NO_FRONTEND,
                "plan",
                "a name of 1 to 64 characters, not of " + name.length());
        errors.require(
                soakMs >= 0 && soakMs <= MAX_DURATION_MS,
                PlanErrors.NO_FRONTEND,
                "soak_ms",
                "ms from 0 to 1e9, not " + soakMs);
        errors.require(
                failureMargin >= 0 && failureMargin <= 1,
                PlanErrors.NO_FRONTEND,
                "margin",
                "a share from 0 to 1, not " + failureMargin);
        errors.require(
                minAnswers >= 1,
                PlanErrors.NO_FRONTEND,
                "answers",
                "a whole number from 1, not " + minAnswers);
        errors.require(
                !frontends.isEmpty() && frontends.size() <= MigrationPlan.MAX_ITEMS,
                PlanErrors.NO_FRONTEND,
                "frontends",
                "1 to 64 frontends, not " + frontends.size());
    }

    private void checkFrontend(int index) {
        MigrationPlan.FrontendMigration frontend = frontends.get(index);
        String name = frontend.name();
        errors.require(
                name.length() <= MAX_NAME_LENGTH && byName.putIfAbsent(name, frontend) == null,
                index,
                "name",
                "a name of at most 64 characters, of no earlier frontend, not " + name);
        errors.require(
                !frontend.sourceGroup().equals(frontend.targetGroup())
                        && frontend.targetGroup().length() <= MAX_NAME_LENGTH
                        && frontend.sourceGroup().length() <= MAX_NAME_LENGTH,
                index,
                "to",
                "a group other than "
                        + frontend.sourceGroup()
                        + "; names of groups have at most 64 characters");
        errors.require(
                frontend.unitsPerSecond() >= 0 && frontend.unitsPerSecond() < MAX_UNITS_PER_SECOND,
                index,
                "units",
                "units per second from 0 to below 1e12, not " + frontend.unitsPerSecond());
        errors.require(
                frontend.connections() >= 0,
                index,
                "connections",
                "a whole number from 0, not " + frontend.connections());
        errors.require(
                frontend.deduplicationMs() >= 0 && frontend.deduplicationMs() <= MAX_DURATION_MS,
                index,
                "name",
                "a deduplication window plus timeout of at most 1e9 ms, not "
                        + frontend.deduplicationMs());
        checkShares(index, frontend.shares());
    }

    private void checkShares(int index, List<Double> shares) {
        double last = 0;
        boolean ascending = !shares.isEmpty() && shares.size() <= MigrationPlan.MAX_ITEMS;
        for (double share : shares) {
            ascending &= share > last && share <= 1;
            last = share;
        }
        errors.require(
                ascending,
                index,
                "shares",
                "1 to 64 shares above 0 and at most 1, each higher than the one before");
        errors.require(
                shares.isEmpty() || last == 1, index, "shares", "1 as the last share, not " + last);
    }

    private void checkDependencies(int index) {
        MigrationPlan.FrontendMigration frontend = frontends.get(index);
        for (String dependency : frontend.dependencies()) {
            errors.require(
                    byName.containsKey(dependency),
                    index,
                    "needs",
                    "frontends of this plan, not " + dependency);
        }
        errors.require(
                frontend.dependencies().size() <= MigrationPlan.MAX_ITEMS,
                index,
                "needs",
                "at most 64 names, not " + frontend.dependencies().size());
        errors.require(
                !dependsOn(frontend.name(), frontend.name(), new HashSet<>()),
                index,
                "needs",
                "no cycle, but " + frontend.name() + " depends on itself");
        errors.require(
                frontend.firstStage() >= 0 && frontend.firstStage() <= MAX_STAGE,
                index,
                "begins",
                "a stage from 1 to 1000, or 0 for the earliest one, not " + frontend.firstStage());
    }

    /** Whether one frontend depends on another, directly or through others. */
    private boolean dependsOn(String dependent, String dependency, Set<String> visited) {
        MigrationPlan.FrontendMigration frontend = byName.get(dependent);
        if (frontend == null) {
            return false;
        }
        for (String next : frontend.dependencies()) {
            if (next.equals(dependency)
                    || visited.add(next) && dependsOn(next, dependency, visited)) {
                return true;
            }
        }
        return false;
    }

    private void checkFirstStages() {
        int[] earliestStarts = MigrationStages.earliestStarts(frontends);
        for (int i = 0; i < earliestStarts.length; i++) {
            int firstStage = frontends.get(i).firstStage();
            errors.require(
                    firstStage == 0 || firstStage > earliestStarts[i],
                    i,
                    "begins",
                    "stage "
                            + (earliestStarts[i] + 1)
                            + " or later, when the frontends that it needs have moved");
        }
    }
}
