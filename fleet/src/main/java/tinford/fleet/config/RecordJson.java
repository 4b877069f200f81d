package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** The JSON of single records and changes; numbers and names are read, not yet validated. */
final class RecordJson {
    private static final Set<String> NAME_KEYS = keys("name");
    private static final Set<String> ID_KEYS = keys("id");
    private static final Set<String> TENANT_KEYS = keys("id", "plan");
    private static final Set<String> FAULT_KEYS = keys("key", "expected");
    private static final Set<String> ROUTE_KEYS =
            keys(
                    "name",
                    "service",
                    "targetMs",
                    "timeoutMs",
                    "value",
                    "lateValue",
                    "effect",
                    "group",
                    "repeatWindowMs",
                    "streamed");
    private static final Set<String> PLAN_KEYS =
            keys(
                    "name",
                    "ratePerSecond",
                    "burst",
                    "maxOpen",
                    "price",
                    "beyondValue",
                    "beyondCost",
                    "ceilingPerSecond",
                    "ceilingBurst",
                    "ceilingSlack");
    private static final String EXPECTED_CHANGE =
            "one of putService, removeService, putRoute, removeRoute, putPlan, removePlan, "
                    + "putTenant, removeTenant";

    private RecordJson() {}

    static Set<String> keys(String... keys) {
        return new TreeSet<>(List.of(keys));
    }

    /** Writes one value of an array. */
    interface ElementWriter<T> {
        void write(JsonGenerator out, T value) throws IOException;
    }

    /** Reads one object of an array. */
    interface ElementReader<T> {
        T read(JsonObject json) throws InvalidConfigurationException;
    }

    static <T> void writeAll(
            JsonGenerator out, String key, Collection<T> values, ElementWriter<T> writer)
            throws IOException {
        out.writeArrayFieldStart(key);
        for (T value : values) {
            writer.write(out, value);
        }
        out.writeEndArray();
    }

    static <T> List<T> readAll(JsonObject json, String key, ElementReader<T> reader)
            throws InvalidConfigurationException {
        List<T> values = new ArrayList<>();
        for (JsonObject element : json.objects(key)) {
            values.add(reader.read(element));
        }
        return values;
    }

    static void writeService(JsonGenerator out, ServiceRecord service) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", service.name());
        out.writeEndObject();
    }

    static ServiceRecord readService(JsonObject json) throws InvalidConfigurationException {
        json.allow(NAME_KEYS);
        return new ServiceRecord(json.text("name"));
    }

    static void writeRoute(JsonGenerator out, RouteRecord route) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", route.name());
        out.writeStringField("service", route.service());
        out.writeNumberField("targetMs", route.targetMs());
        out.writeNumberField("timeoutMs", route.timeoutMs());
        out.writeNumberField("value", route.value());
        out.writeNumberField("lateValue", route.lateValue());
        out.writeStringField("effect", effectName(route.effect()));
        out.writeStringField("group", groupName(route.group()));
        out.writeNumberField("repeatWindowMs", route.repeatWindowMs());
        out.writeBooleanField("streamed", route.streamed());
        out.writeEndObject();
    }

    static RouteRecord readRoute(JsonObject json) throws InvalidConfigurationException {
        json.allow(ROUTE_KEYS);
        double timeoutMs = json.number("timeoutMs");
        Idempotency effect = readEffect(json);
        return new RouteRecord(
                json.text("name"),
                json.text("service"),
                json.number("targetMs", timeoutMs),
                timeoutMs,
                json.number("value", 1),
                json.number("lateValue", 0),
                effect,
                readGroup(json, effect),
                json.number("repeatWindowMs", 0),
                json.flag("streamed", false));
    }

    static void writePlan(JsonGenerator out, PlanRecord plan) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", plan.name());
        out.writeNumberField("ratePerSecond", plan.ratePerSecond());
        out.writeNumberField("burst", plan.burst());
        out.writeNumberField("maxOpen", plan.maxOpen());
        out.writeNumberField("price", plan.price());
        out.writeNumberField("beyondValue", plan.beyondValue());
        out.writeNumberField("beyondCost", plan.beyondCost());
        out.writeNumberField("ceilingPerSecond", plan.ceilingPerSecond());
        out.writeNumberField("ceilingBurst", plan.ceilingBurst());
        out.writeNumberField("ceilingSlack", plan.ceilingSlack());
        out.writeEndObject();
    }

    static PlanRecord readPlan(JsonObject json) throws InvalidConfigurationException {
        json.allow(PLAN_KEYS);
        return new PlanRecord(
                json.text("name"),
                json.number("ratePerSecond", 0),
                json.number("burst", 0),
                json.has("maxOpen") ? json.smallCount("maxOpen") : 0,
                json.number("price", 1),
                json.number("beyondValue", 0),
                json.number("beyondCost", 0),
                json.number("ceilingPerSecond", 0),
                json.number("ceilingBurst", 0),
                json.number("ceilingSlack", 0));
    }

    static void writeTenant(JsonGenerator out, TenantRecord tenant) throws IOException {
        out.writeStartObject();
        out.writeNumberField("id", tenant.id());
        out.writeStringField("plan", tenant.plan());
        out.writeEndObject();
    }

    static TenantRecord readTenant(JsonObject json) throws InvalidConfigurationException {
        json.allow(TENANT_KEYS);
        return new TenantRecord(json.whole("id"), json.text("plan"));
    }

    static void writeFault(JsonGenerator out, ValidationError fault) throws IOException {
        out.writeStartObject();
        out.writeStringField("key", fault.key());
        out.writeStringField("expected", fault.expected());
        out.writeEndObject();
    }

    static ValidationError readFault(JsonObject json) throws InvalidConfigurationException {
        json.allow(FAULT_KEYS);
        return new ValidationError(json.text("key"), json.text("expected"));
    }

    static void writeChange(JsonGenerator out, Change change) throws IOException {
        out.writeStartObject();
        if (change instanceof Change.PutService put) {
            out.writeFieldName("putService");
            writeService(out, put.service());
        } else if (change instanceof Change.RemoveService remove) {
            writeName(out, "removeService", remove.name());
        } else if (change instanceof Change.PutRoute put) {
            out.writeFieldName("putRoute");
            writeRoute(out, put.route());
        } else if (change instanceof Change.RemoveRoute remove) {
            writeName(out, "removeRoute", remove.name());
        } else if (change instanceof Change.PutPlan put) {
            out.writeFieldName("putPlan");
            writePlan(out, put.plan());
        } else if (change instanceof Change.RemovePlan remove) {
            writeName(out, "removePlan", remove.name());
        } else if (change instanceof Change.PutTenant put) {
            out.writeFieldName("putTenant");
            writeTenant(out, put.tenant());
        } else if (change instanceof Change.RemoveTenant remove) {
            out.writeObjectFieldStart("removeTenant");
            out.writeNumberField("id", remove.id());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    static Change readChange(JsonObject json) throws InvalidConfigurationException {
        String kind = json.onlyKey(EXPECTED_CHANGE);
        JsonObject body = json.object(kind);
        return switch (kind) {
            case "putService" -> new Change.PutService(readService(body));
            case "removeService" -> new Change.RemoveService(readName(body));
            case "putRoute" -> new Change.PutRoute(readRoute(body));
            case "removeRoute" -> new Change.RemoveRoute(readName(body));
            case "putPlan" -> new Change.PutPlan(readPlan(body));
            case "removePlan" -> new Change.RemovePlan(readName(body));
            case "putTenant" -> new Change.PutTenant(readTenant(body));
            case "removeTenant" -> new Change.RemoveTenant(readId(body));
            default -> throw json.invalid(kind, EXPECTED_CHANGE);
        };
    }

    private static void writeName(JsonGenerator out, String kind, String name) throws IOException {
        out.writeObjectFieldStart(kind);
        out.writeStringField("name", name);
        out.writeEndObject();
    }

    private static String readName(JsonObject json) throws InvalidConfigurationException {
        json.allow(NAME_KEYS);
        return json.text("name");
    }

    private static long readId(JsonObject json) throws InvalidConfigurationException {
        json.allow(ID_KEYS);
        return json.whole("id");
    }

    private static String effectName(Idempotency effect) {
        return switch (effect) {
            case IDEMPOTENT -> "read_like";
            case IDEMPOTENCY_KEY -> "idempotency_key";
            case NON_IDEMPOTENT -> "non_idempotent";
        };
    }

    private static Idempotency readEffect(JsonObject json) throws InvalidConfigurationException {
        return switch (json.text("effect")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw json.invalid("effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    private static String groupName(DeduplicationScope group) {
        return switch (group) {
            case ALL -> "all";
            case ZONE -> "zone";
            case CELL -> "cell";
        };
    }

    /**
     * Where a key counts and no group is named, the narrowest: a repeat there is dropped in any.
     */
    private static DeduplicationScope readGroup(JsonObject json, Idempotency effect)
            throws InvalidConfigurationException {
        if (!json.has("group")) {
            return effect == Idempotency.IDEMPOTENCY_KEY
                    ? DeduplicationScope.CELL
                    : DeduplicationScope.ALL;
        }
        return switch (json.text("group")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw json.invalid("group", "all, zone or cell");
        };
    }
}
