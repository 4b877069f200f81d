package tinford.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.AttemptLimits;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayIdentity;
import tinford.api.Idempotency;
import tinford.api.Objectives;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.SlowStartRules;

/**
 * Reads the settings object that a gateway starts with, for the process and for the simulator. The
 * names of its fields are the operators'; they are mapped to the gateway's terms only in this
 * class. Each method throws an {@link InvalidSettingsException} for a field that is not valid.
 */
public final class SettingsReader {
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1000;
    private static final double DEFAULT_IDLE_TIMEOUT_MS = 600_000;

    /** A shorter idle timeout would close nearly every connection before it is used again. */
    private static final double MIN_IDLE_TIMEOUT_MS = 16;

    private static final double DEFAULT_WARM_UP_MS = 30_000;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;
    private static final double DEFAULT_MAX_REQUEST_UNITS = 1e9;

    private static final double MS_PER_SECOND = 1000;

    private SettingsReader() {}

    /** Reads the request classes by name, in the order of the settings. */
    public static Map<String, RequestClass> requestClasses(JsonFields settings) {
        Map<String, RequestClass> classes = new LinkedHashMap<>();
        for (JsonFields entry : settings.objects("Classes")) {
            double timeoutMs = entry.positiveMillis("HardLimitUs");
            classes.put(entry.text("Name"), requestClass(entry, timeoutMs));
        }
        return classes;
    }

    private static RequestClass requestClass(JsonFields entry, double timeoutMs) {
        return new RequestClass(
                entry.text("Name"),
                entry.millis("OnTimeUs", timeoutMs),
                timeoutMs,
                entry.nonNegative("Value", 1),
                entry.nonNegative("LateWorth", 0),
                idempotency(entry),
                deduplicationScope(entry),
                entry.millis("WindowUs"),
                entry.flag("Stream"));
    }

    /** Reads the plans by name, in the order of the settings. */
    public static Map<String, Plan> plans(JsonFields settings) {
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (JsonFields entry : settings.objects("Tariffs")) {
            double quotaPerMs = ratePerMs(entry, "QuotaRate");
            double hardLimitPerMs = ratePerMs(entry, "CapRate");
            plans.put(entry.text("Name"), plan(entry, quotaPerMs, hardLimitPerMs));
        }
        return plans;
    }

    private static Plan plan(JsonFields entry, double quotaPerMs, double hardLimitPerMs) {
        return new Plan(
                entry.text("Name"),
                quotaPerMs,
                burst(entry, "MostAtOnce", quotaPerMs),
                (int) entry.nonNegative("MaxOut", 0),
                entry.nonNegative("Price", 1),
                entry.nonNegative("ExtraWorth", 0),
                entry.nonNegative("OverrunCost", 0),
                hardLimitPerMs,
                burst(entry, "CapDepth", hardLimitPerMs),
                entry.nonNegative("HardSlack", 0));
    }

    /** Reads a rate in units per second as units per ms; 0 when absent. */
    private static double ratePerMs(JsonFields entry, String field) {
        return entry.nonNegative(field, 0) / MS_PER_SECOND;
    }

    /** Reads a burst in units. A rate limit without one would never admit a request. */
    private static double burst(JsonFields entry, String field, double ratePerMs) {
        return ratePerMs > 0 ? entry.positive(field) : entry.nonNegative(field, 0);
    }

    /** Reads the identity of the gateway. */
    public static GatewayIdentity gatewayIdentity(JsonFields settings) {
        return new GatewayIdentity(
                settings.count("MyNumber", 0, 0),
                settings.count("NInstances", 1),
                settings.has("Az") ? settings.text("Az") : "",
                settings.millis("TickUs"));
    }

    /** Reads the limits on attempts. */
    public static AttemptLimits attemptLimits(JsonFields settings) {
        JsonFields limits = settings.object("Limits");
        return new AttemptLimits(
                limits.count("MaxAttempts", 1),
                limits.flag("MayDuplicate"),
                limits.flag("Cancel"),
                limits.flag("Peers"),
                limits.flag("Probes"),
                limits.flag("RetryAfter") ? limits.millis("MaxRetryAfterUs") : 0);
    }

    /** Reads the settings of the shared counter. */
    public static CounterSettings counterSettings(JsonFields settings) {
        JsonFields specifics = settings.objectOrEmpty("Specifics");
        boolean present = specifics.flag("Counter");
        return new CounterSettings(
                present,
                present ? specifics.positiveMillis("CountLimitUs") : 0,
                specifics.nonNegative("UnitsTop", 1),
                specifics.flag("PostPaid"));
    }

    /**
     * Reads the most units that a request may have at the process's request interface, where an
     * absent bound admits nearly any number.
     */
    public static double maxRequestUnits(JsonFields settings) {
        return settings.objectOrEmpty("Specifics")
                .nonNegative("UnitsTop", DEFAULT_MAX_REQUEST_UNITS);
    }

    /** Reads the time in ms within which a connection to a server has to be open. */
    public static double connectTimeoutMs(JsonFields settings) {
        return settings.object("Limits").millis("ConnectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_MS);
    }

    /** Reads the time in ms after which an idle connection is closed. */
    public static double idleTimeoutMs(JsonFields settings) {
        JsonFields limits = settings.object("Limits");
        return Math.max(MIN_IDLE_TIMEOUT_MS, limits.millis("KeepaliveUs", DEFAULT_IDLE_TIMEOUT_MS));
    }

    /** Reads the number of requests that the gateway may have in flight. */
    public static int maxOpenRequests(JsonFields settings) {
        int configured = settings.object("Limits").count("OpenCap", 0, 0);
        return configured > 0 ? configured : DEFAULT_MAX_OPEN_REQUESTS;
    }

    /** Returns whether changes of the endpoint list arrive only while they are watched. */
    public static boolean watchRequired(JsonFields settings) {
        return settings.has("Discovery") && settings.text("Discovery").equals("subscribe");
    }

    /** Creates the decision module that the settings describe. */
    public static DecisionModule createModule(
            DecisionModule.Factory factory, long seed, JsonFields settings) {
        JsonFields rules = settings.object("Rules");
        JsonFields objectives = settings.objectOrEmpty("ResultMix");
        return factory.create(
                seed,
                gatewayIdentity(settings),
                attemptLimits(settings),
                slowStartRules(rules),
                counterSettings(settings),
                new Objectives(
                        objectives.nonNegative("Whole", 1),
                        objectives.nonNegative("WorstTenant", 0)),
                watchRequired(settings));
    }

    private static SlowStartRules slowStartRules(JsonFields rules) {
        return new SlowStartRules(
                rules.nonNegative("ColdFrom", 0),
                rules.has("ColdUs") ? rules.millis("ColdUs") : DEFAULT_WARM_UP_MS,
                rules.positive("FallMultiple"),
                rules.millis("FallUs"));
    }

    private static Idempotency idempotency(JsonFields requestClass) {
        return switch (requestClass.text("Effect")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default ->
                    throw requestClass.invalid(
                            "Effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    /** Without a scope the smallest one is assumed: a cell lies within the scope that is meant. */
    private static DeduplicationScope deduplicationScope(JsonFields requestClass) {
        if (idempotency(requestClass) != Idempotency.IDEMPOTENCY_KEY) {
            return DeduplicationScope.ALL;
        }
        if (!requestClass.has("Group")) {
            return DeduplicationScope.CELL;
        }
        return switch (requestClass.text("Group")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw requestClass.invalid("Group", "all, zone or cell");
        };
    }
}
