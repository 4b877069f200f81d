package tinford.fleet.migration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tinford.api.Idempotency;
import tinford.api.RequestClass;

/**
 * Reads a plan from TOML and checks it against the gateway's settings. A plan with errors is
 * rejected, and all of its errors are reported.
 */
public final class MigrationPlanReader {
    private static final Set<String> PLAN_KEYS = Set.of("plan", "soak_ms", "bad", "frontends");
    private static final Set<String> FAILURE_KEYS = Set.of("margin", "answers");
    private static final Set<String> FRONTEND_KEYS =
            Set.of(
                    "name",
                    "from",
                    "to",
                    "needs",
                    "begins",
                    "shares",
                    "units",
                    "connections",
                    "retries");
    private static final int MAX_CHARACTERS = 256 << 10;
    private static final int NO_FRONTEND = PlanErrors.NO_FRONTEND;

    private final MigrationPlan.ValidationContext context;

    public MigrationPlanReader(MigrationPlan.ValidationContext context) {
        this.context = context;
    }

    /**
     * @param file path of the plan, for error messages
     * @throws PlanErrors.InvalidPlanException if the plan has errors; contains all of them
     */
    public MigrationPlan read(String file, String text) {
        PlanErrors errors = new PlanErrors(file, text);
        if (text.length() > MAX_CHARACTERS) {
            errors.add(0, "text", "at most 262144 characters, not " + text.length());
            errors.throwIfAny();
        }
        JsonNode root = parse(text, errors);
        checkKeys(root, PLAN_KEYS, NO_FRONTEND, errors);
        JsonNode failure = root.path("bad");
        errors.require(failure.isObject(), NO_FRONTEND, "bad", "a table with margin and answers");
        checkKeys(failure, FAILURE_KEYS, NO_FRONTEND, errors);
        List<MigrationPlan.FrontendMigration> frontends = readFrontends(root, errors);
        String name = readText(root, "plan", NO_FRONTEND, errors);
        double soakMs = readNumber(root, "soak_ms", NO_FRONTEND, errors);
        double margin = readNumber(failure, "margin", NO_FRONTEND, errors);
        int minAnswers = readInteger(failure, "answers", NO_FRONTEND, errors);
        MigrationPlanRules.check(name, soakMs, margin, minAnswers, frontends, errors);
        Map<String, MigrationPlan.GroupCapacity> groups = targetGroups(frontends, errors);
        errors.throwIfAny();
        return new MigrationPlan(name, soakMs, margin, minAnswers, frontends, groups);
    }

    private static JsonNode parse(String text, PlanErrors errors) {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            errors.add(
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    "text",
                    "TOML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
            errors.throwIfAny();
            return null;
        }
    }

    private List<MigrationPlan.FrontendMigration> readFrontends(JsonNode root, PlanErrors errors) {
        JsonNode list = root.path("frontends");
        errors.require(
                list.isArray(), NO_FRONTEND, "frontends", "an array of tables [[frontends]]");
        List<MigrationPlan.FrontendMigration> frontends = new ArrayList<>();
        for (int i = 0; list.isArray() && i < list.size(); i++) {
            frontends.add(readFrontend(list.get(i), i, errors));
        }
        return frontends;
    }

    private MigrationPlan.FrontendMigration readFrontend(
            JsonNode node, int index, PlanErrors errors) {
        checkKeys(node, FRONTEND_KEYS, index, errors);
        String name = readText(node, "name", index, errors);
        RequestClass requestClass = context.frontends().get(name);
        errors.require(
                requestClass != null,
                index,
                "name",
                "one of the frontends that may migrate, not " + name);
        String sourceGroup = readSourceGroup(node, name, index, errors);
        boolean marksRetries = readMarksRetries(node, index, errors);
        List<Double> shares = readShares(node, index, errors);
        List<String> dependencies = readDependencies(node, index, errors);
        boolean keyed =
                requestClass != null && requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY;
        return new MigrationPlan.FrontendMigration(
                name,
                sourceGroup,
                readText(node, "to", index, errors),
                dependencies,
                node.has("begins") ? readInteger(node, "begins", index, errors) : 0,
                shares,
                readNumber(node, "units", index, errors),
                readInteger(node, "connections", index, errors),
                keyed,
                marksRetries,
                keyed ? requestClass.deduplicationWindowMs + requestClass.timeoutMs : 0);
    }

    private String readSourceGroup(JsonNode node, String frontend, int index, PlanErrors errors) {
        String sourceGroup = readText(node, "from", index, errors);
        String homeGroup = context.homeGroups().get(frontend);
        errors.require(
                !context.frontends().containsKey(frontend) || sourceGroup.equals(homeGroup),
                index,
                "from",
                "the group that the frontend is in: " + homeGroup);
        return sourceGroup;
    }

    private static boolean readMarksRetries(JsonNode node, int index, PlanErrors errors) {
        String retries = node.has("retries") ? readText(node, "retries", index, errors) : "untold";
        errors.require(
                retries.equals("told") || retries.equals("untold"),
                index,
                "retries",
                "told or untold");
        return retries.equals("told");
    }

    private static List<Double> readShares(JsonNode node, int index, PlanErrors errors) {
        JsonNode list = node.path("shares");
        boolean valid = list.isArray();
        List<Double> shares = new ArrayList<>();
        for (JsonNode share : list) {
            valid &= share.isNumber();
            shares.add(share.asDouble());
        }
        errors.require(valid, index, "shares", "an array of numbers");
        return List.copyOf(shares);
    }

    private static List<String> readDependencies(JsonNode node, int index, PlanErrors errors) {
        JsonNode list = node.path("needs");
        boolean valid = !node.has("needs") || list.isArray();
        List<String> dependencies = new ArrayList<>();
        for (JsonNode dependency : list) {
            valid &= dependency.isTextual();
            dependencies.add(dependency.asText());
        }
        errors.require(valid, index, "needs", "an array of names");
        return List.copyOf(dependencies);
    }

    /** The target groups; each must have capacity for all frontends that migrate to it. */
    private Map<String, MigrationPlan.GroupCapacity> targetGroups(
            List<MigrationPlan.FrontendMigration> frontends, PlanErrors errors) {
        Map<String, MigrationPlan.GroupCapacity> groups = new TreeMap<>();
        Map<String, Double> units = new HashMap<>();
        Map<String, Double> connections = new HashMap<>();
        for (int i = 0; i < frontends.size(); i++) {
            MigrationPlan.FrontendMigration frontend = frontends.get(i);
            String source = frontend.sourceGroup();
            String target = frontend.targetGroup();
            errors.require(
                    context.groups().containsKey(source),
                    i,
                    "from",
                    "a known group, not " + source);
            MigrationPlan.GroupCapacity capacity = context.groups().get(target);
            errors.require(capacity != null, i, "to", "a known group, not " + target);
            if (capacity != null) {
                groups.put(target, capacity);
                double totalUnits = units.merge(target, frontend.unitsPerSecond(), Double::sum);
                errors.require(
                        totalUnits <= capacity.unitsPerSecond(),
                        i,
                        "units",
                        noMoreThan(capacity.unitsPerSecond(), target));
                double totalConnections =
                        connections.merge(target, (double) frontend.connections(), Double::sum);
                errors.require(
                        totalConnections <= capacity.connections(),
                        i,
                        "connections",
                        noMoreThan(capacity.connections(), target));
            }
        }
        return groups;
    }

    private static String noMoreThan(Number capacity, String group) {
        return "at most " + capacity + " in total, the capacity of group " + group;
    }

    private static void checkKeys(
            JsonNode node, Set<String> knownKeys, int index, PlanErrors errors) {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            errors.require(knownKeys.contains(key), index, key, "no key of this name");
        }
    }

    private static String readText(JsonNode node, String key, int index, PlanErrors errors) {
        errors.require(node.path(key).isTextual(), index, key, "a string");
        return node.path(key).asText("");
    }

    private static double readNumber(JsonNode node, String key, int index, PlanErrors errors) {
        errors.require(node.path(key).isNumber(), index, key, "a number");
        return node.path(key).asDouble();
    }

    private static int readInteger(JsonNode node, String key, int index, PlanErrors errors) {
        errors.require(node.path(key).isInt(), index, key, "a whole number");
        return node.path(key).asInt();
    }
}
