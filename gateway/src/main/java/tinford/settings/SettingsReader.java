package tinford.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.*;

/** The one reader of the settings object that a gateway is handed at its start, for every front. */
public final class SettingsReader {
    private static final double CONNECT =
            1000; // where no time is handed for it; none that is handed is longer
    private static final double KEPT = 600_000; // idle connections, where none are closed
    private static final double COLD =
            30_000; // where it is not handed how long servers are: longer than any known
    private static final double LEAST_KEPT =
            16; // who closes them sooner has none that is used again
    private static final int OPEN = 20_000; // reqs, where no bound is handed
    private static final double MOST_UNITS = 1e9; // of one call on the counter

    private SettingsReader() {}

    public static Map<String, RequestClass> requestClasses(JsonFields set) {
        Map<String, RequestClass> found = new LinkedHashMap<>();
        for (JsonFields c : set.objects("Classes")) {
            double timeout = c.positive("HardLimitUs") / 1000;
            found.put(
                    c.text("Name"),
                    new RequestClass(
                            c.text("Name"),
                            c.millis("OnTimeUs", timeout),
                            timeout,
                            c.nonNegative("Value", 1),
                            c.nonNegative("LateWorth", 0),
                            idempotency(c),
                            deduplicationScope(c),
                            c.millis("WindowUs"),
                            c.flag("Stream")));
        }
        return found;
    }

    public static Map<String, Plan> plans(JsonFields set) {
        Map<String, Plan> found = new LinkedHashMap<>();
        for (JsonFields t : set.objects("Tariffs")) {
            double rate = t.nonNegative("QuotaRate", 0) / 1000;
            double ceilingRate = t.nonNegative("CapRate", 0) / 1000;
            found.put(
                    t.text("Name"),
                    new Plan(
                            t.text("Name"),
                            rate,
                            bucketSize(t, "MostAtOnce", rate),
                            (int) t.nonNegative("MaxOut", 0),
                            t.nonNegative("Price", 1),
                            t.nonNegative("ExtraWorth", 0),
                            t.nonNegative("OverrunCost", 0),
                            ceilingRate,
                            bucketSize(t, "CapDepth", ceilingRate),
                            t.nonNegative("HardSlack", 0)));
        }
        return found;
    }

    /** Of what a rate fills: without it nothing would ever fit. */
    private static double bucketSize(JsonFields t, String field, double rate) {
        return rate > 0 ? t.positive(field) : t.nonNegative(field, 0);
    }

    public static GatewayIdentity gatewayIdentity(JsonFields set) {
        return new GatewayIdentity(
                set.count("MyNumber", 0, 0),
                set.count("NInstances", 1),
                set.has("Az") ? set.text("Az") : "",
                set.millis("TickUs"));
    }

    public static AttemptLimits attemptLimits(JsonFields set) {
        JsonFields lim = set.object("Limits");
        return new AttemptLimits(
                lim.count("MaxAttempts", 1),
                lim.flag("MayDuplicate"),
                lim.flag("Cancel"),
                lim.flag("Peers"),
                lim.flag("Probes"),
                lim.flag("RetryAfter") ? lim.millis("MaxRetryAfterUs") : 0);
    }

    public static CounterSettings counterSettings(JsonFields set) {
        JsonFields fam = set.objectOrEmpty("Specifics");
        boolean present = fam.flag("Counter");
        return new CounterSettings(
                present,
                present ? fam.positive("CountLimitUs") / 1000 : 0,
                fam.nonNegative("UnitsTop", 1),
                fam.flag("PostPaid"));
    }

    /** Units of one req: where no bound is handed, none that is asked for is refused. */
    public static double maxRequestUnits(JsonFields set) {
        return set.objectOrEmpty("Specifics").nonNegative("UnitsTop", MOST_UNITS);
    }

    /** How long a connection may take to come up. */
    public static double connectTimeoutMs(JsonFields set) {
        return set.object("Limits").millis("ConnectTimeoutUs", CONNECT);
    }

    /** How long a connection may stand idle. */
    public static double idleTimeoutMs(JsonFields set) {
        return Math.max(LEAST_KEPT, set.object("Limits").millis("KeepaliveUs", KEPT));
    }

    /** Reqs that may be open. */
    public static int maxOpenRequests(JsonFields set) {
        int most = set.object("Limits").count("OpenCap", 0, 0);
        return most > 0 ? most : OPEN;
    }

    /** Changes of the server list come only to a gateway that asks for them. */
    public static boolean watchRequired(JsonFields set) {
        return set.has("Discovery") && set.text("Discovery").equals("subscribe");
    }

    public static DecisionModule createModule(
            DecisionModule.Factory maker, long seed, JsonFields set) {
        JsonFields rule = set.object("Rules");
        JsonFields mix = set.objectOrEmpty("ResultMix");
        return maker.create(
                seed,
                gatewayIdentity(set),
                attemptLimits(set),
                new SlowStartRules(
                        rule.nonNegative("ColdFrom", 0),
                        rule.has("ColdUs") ? rule.millis("ColdUs") : COLD,
                        rule.positive("FallMultiple"),
                        rule.millis("FallUs")),
                counterSettings(set),
                new Objectives(mix.nonNegative("Whole", 1), mix.nonNegative("WorstTenant", 0)),
                watchRequired(set));
    }

    private static Idempotency idempotency(JsonFields c) {
        return switch (c.text("Effect")) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw c.invalid("Effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    private static DeduplicationScope deduplicationScope(JsonFields c) {
        if (idempotency(c) != Idempotency.IDEMPOTENCY_KEY) {
            return DeduplicationScope.ALL;
        }
        if (!c.has("Group")) {
            return DeduplicationScope
                    .CELL; // lies within any: a repeat there is dropped whatever the group is
        }
        return switch (c.text("Group")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw c.invalid("Group", "all, zone or cell");
        };
    }
}
