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
 * Reads a plan from TOML and holds it against what is known; a plan with any fault is refused
 * whole, with all of its faults.
 */
public final class MigrationPlanReader {
    private static final Set<String> TOP = Set.of("plan", "soak_ms", "bad", "frontends");
    private static final Set<String> BAD = Set.of("margin", "answers");
    private static final Set<String> EACH =
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
    private static final int LONGEST = 256 << 10;
    private final MigrationPlan.ValidationContext known;

    public MigrationPlanReader(MigrationPlan.ValidationContext known) {
        this.known = known;
    }

    /**
     * @throws PlanErrors.Refused with all faults
     */
    public MigrationPlan read(String file, String text) {
        PlanErrors faults = new PlanErrors(file, text);
        if (text.length() > LONGEST) {
            faults.add(0, "text", "262144 characters at most");
            faults.throwIfAny();
        }
        JsonNode top = tree(text, faults);
        names(top, TOP, -1, faults);
        JsonNode bad = top.path("bad");
        faults.require(bad.isObject(), -1, "bad", "a table with margin and answers");
        names(bad, BAD, -1, faults);
        JsonNode list = top.path("frontends");
        faults.require(list.isArray(), -1, "frontends", "tables [[frontends]]");
        List<MigrationPlan.FrontendMigration> movers = new ArrayList<>();
        for (int i = 0; list.isArray() && i < list.size(); i++) {
            movers.add(mover(list.get(i), i, faults));
        }
        String name = text(top, "plan", -1, faults);
        double soak = number(top, "soak_ms", -1, faults);
        double margin = number(bad, "margin", -1, faults);
        int answers = whole(bad, "answers", -1, faults);
        MigrationPlan.check(name, soak, margin, answers, movers, faults);
        Map<String, MigrationPlan.GroupCapacity> groups = rooms(movers, faults);
        faults.throwIfAny();
        return new MigrationPlan(name, soak, margin, answers, movers, groups);
    }

    private static JsonNode tree(String text, PlanErrors faults) {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            faults.add(
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    "text",
                    "TOML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
            faults.throwIfAny();
            return null;
        }
    }

    private MigrationPlan.FrontendMigration mover(JsonNode n, int i, PlanErrors faults) {
        names(n, EACH, i, faults);
        String name = text(n, "name", i, faults);
        RequestClass f = known.frontends().get(name);
        faults.require(f != null, i, "name", "one of the frontends that may move, not " + name);
        boolean uniqued = f != null && f.idempotency == Idempotency.IDEMPOTENCY_KEY;
        String from = text(n, "from", i, faults);
        faults.require(
                f == null || from.equals(known.homeGroups().get(name)),
                i,
                "from",
                "where it is: " + known.homeGroups().get(name));
        String retries = n.has("retries") ? text(n, "retries", i, faults) : "untold";
        faults.require(
                retries.equals("told") || retries.equals("untold"), i, "retries", "told or untold");
        List<Double> shares = new ArrayList<>();
        boolean list = n.path("shares").isArray();
        for (JsonNode s : n.path("shares")) {
            list &= s.isNumber();
            shares.add(s.asDouble());
        }
        faults.require(list, i, "shares", "numbers in brackets");
        List<String> needs = new ArrayList<>();
        boolean texts = !n.has("needs") || n.path("needs").isArray();
        for (JsonNode s : n.path("needs")) {
            texts &= s.isTextual();
            needs.add(s.asText());
        }
        faults.require(texts, i, "needs", "names in brackets");
        return new MigrationPlan.FrontendMigration(
                name,
                from,
                text(n, "to", i, faults),
                List.copyOf(needs),
                n.has("begins") ? whole(n, "begins", i, faults) : 0,
                List.copyOf(shares),
                number(n, "units", i, faults),
                whole(n, "connections", i, faults),
                uniqued,
                retries.equals("told"),
                uniqued ? f.deduplicationWindowMs + f.timeoutMs : 0);
    }

    /** The groups that are gone to; each must have room for all that comes. */
    private Map<String, MigrationPlan.GroupCapacity> rooms(
            List<MigrationPlan.FrontendMigration> movers, PlanErrors faults) {
        Map<String, MigrationPlan.GroupCapacity> found = new TreeMap<>();
        Map<String, Double> units = new HashMap<>();
        Map<String, Double> connections = new HashMap<>();
        for (int i = 0; i < movers.size(); i++) {
            MigrationPlan.FrontendMigration m = movers.get(i);
            faults.require(
                    known.groups().containsKey(m.sourceGroup()),
                    i,
                    "from",
                    "a known group, not " + m.sourceGroup());
            MigrationPlan.GroupCapacity room = known.groups().get(m.targetGroup());
            faults.require(room != null, i, "to", "a known group, not " + m.targetGroup());
            if (room != null) {
                found.put(m.targetGroup(), room);
                faults.require(
                        units.merge(m.targetGroup(), m.unitsPerSecond(), Double::sum)
                                <= room.unitsPerSecond(),
                        i,
                        "units",
                        "no more in all than the "
                                + room.unitsPerSecond()
                                + " that "
                                + m.targetGroup()
                                + " has room for");
                faults.require(
                        connections.merge(m.targetGroup(), (double) m.connections(), Double::sum)
                                <= room.connections(),
                        i,
                        "connections",
                        "no more in all than the "
                                + room.connections()
                                + " that "
                                + m.targetGroup()
                                + " has room for");
            }
        }
        return found;
    }

    private static void names(JsonNode n, Set<String> known, int i, PlanErrors faults) {
        for (Iterator<String> at = n.fieldNames(); at.hasNext(); ) {
            String key = at.next();
            faults.require(known.contains(key), i, key, "no such key");
        }
    }

    private static String text(JsonNode n, String key, int i, PlanErrors faults) {
        faults.require(n.path(key).isTextual(), i, key, "a text");
        return n.path(key).asText("");
    }

    private static double number(JsonNode n, String key, int i, PlanErrors faults) {
        faults.require(n.path(key).isNumber(), i, key, "a number");
        return n.path(key).asDouble();
    }

    private static int whole(JsonNode n, String key, int i, PlanErrors faults) {
        faults.require(n.path(key).isInt(), i, key, "a whole number");
        return n.path(key).asInt();
    }
}
