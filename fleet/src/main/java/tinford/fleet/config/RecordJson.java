package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Set;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/**
 * Reads and writes single records and validation errors as JSON. Reading checks the types of
 * fields; {@link Validator} checks names and ranges of numbers. The field names are part of the
 * protocol and of stored data.
 */
final class RecordJson {
    private static final Set<String> NAME_KEYS = JsonObjectReader.keys("name");
    private static final Set<String> TENANT_KEYS = JsonObjectReader.keys("id", "plan");
    private static final Set<String> ERROR_KEYS = JsonObjectReader.keys("key", "expected");
    private static final Set<String> ROUTE_KEYS =
            JsonObjectReader.keys(
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
            JsonObjectReader.keys(
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

    private RecordJson() {}

    static void writeService(JsonGenerator out, ServiceRecord service) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", service.name());
        out.writeEndObject();
    }

    static ServiceRecord readService(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(NAME_KEYS);
        return new ServiceRecord(json.text("name"));
    }

    static void writeRoute(JsonGenerator out, RouteRecord route) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", route.name());
        out.writeStringField("service", route.service());
        out.writeNumberField("targetMs", route.latencyObjectiveMs());
        out.writeNumberField("timeoutMs", route.timeoutMs());
        out.writeNumberField("value", route.priorityWeight());
        out.writeNumberField("lateValue", route.lateWeight());
        out.writeStringField("effect", idempotencyName(route.idempotency()));
        out.writeStringField("group", scopeName(route.deduplicationScope()));
        out.writeNumberField("repeatWindowMs", route.deduplicationWindowMs());
        out.writeBooleanField("streamed", route.streamed());
        out.writeEndObject();
    }

    static RouteRecord readRoute(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(ROUTE_KEYS);
        double timeoutMs = json.number("timeoutMs");
        Idempotency idempotency = readIdempotency(json);
        return new RouteRecord(
                json.text("name"),
                json.text("service"),
                json.number("targetMs", timeoutMs),
                timeoutMs,
                json.number("value", 1),
                json.number("lateValue", 0),
                idempotency,
                readScope(json, idempotency),
                json.number("repeatWindowMs", 0),
                json.flag("streamed", false));
    }

    static void writePlan(JsonGenerator out, PlanRecord plan) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", plan.name());
        out.writeNumberField("ratePerSecond", plan.quotaPerSecond());
        out.writeNumberField("burst", plan.burst());
        out.writeNumberField("maxOpen", plan.maxOpenRequests());
        out.writeNumberField("price", plan.priorityWeight());
        out.writeNumberField("beyondValue", plan.overQuotaWeight());
        out.writeNumberField("beyondCost", plan.overQuotaCost());
        out.writeNumberField("ceilingPerSecond", plan.hardLimitPerSecond());
        out.writeNumberField("ceilingBurst", plan.hardLimitBurst());
        out.writeNumberField("ceilingSlack", plan.hardLimitSlack());
        out.writeEndObject();
    }

    static PlanRecord readPlan(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(PLAN_KEYS);
        return new PlanRecord(
                json.text("name"),
                json.number("ratePerSecond", 0),
                json.number("burst", 0),
                json.has("maxOpen") ? json.nonNegativeInt("maxOpen") : 0,
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

    static TenantRecord readTenant(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(TENANT_KEYS);
        return new TenantRecord(json.integer("id"), json.text("plan"));
    }

    static void writeError(JsonGenerator out, ValidationError error) throws IOException {
        out.writeStartObject();
        out.writeStringField("key", error.key());
        out.writeStringField("expected", error.expected());
        out.writeEndObject();
    }

    static ValidationError readError(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(ERROR_KEYS);
        return new ValidationError(json.text("key"), json.text("expected"));
    }

    private static String idempotencyName(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "read_like";
            case IDEMPOTENCY_KEY -> "idempotency_key";
            case NON_IDEMPOTENT -> "non_idempotent";
        };
    }

    private static Idempotency readIdempotency(JsonObjectReader json)
            throws InvalidConfigurationException {
        return switch (json.text("effect")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw json.invalid("effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    private static String scopeName(DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone";
            case CELL -> "cell";
        };
    }

    /**
     * Reads the deduplication scope. For routes with an idempotency key the default is the
     * narrowest one, because a duplicate within a cell is dropped whatever the actual scope is.
     */
    private static DeduplicationScope readScope(JsonObjectReader json, Idempotency idempotency)
            throws InvalidConfigurationException {
        if (!json.has("group")) {
            return idempotency == Idempotency.IDEMPOTENCY_KEY
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
