package tinford.handed;

import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.CounterTerms;
import tinford.api.Effect;
import tinford.api.Frontend;
import tinford.api.Gateway;
import tinford.api.Goal;
import tinford.api.Group;
import tinford.api.Limits;
import tinford.api.Place;
import tinford.api.Plan;
import tinford.api.Rules;

/** The one reader of the settings object that a gateway is handed at its start, for every front. */
public final class Handed {
    private static final double CONNECT =
            1000; // where no time is handed for it; none that is handed is longer
    private static final double KEPT = 600_000; // idle connections, where none are closed
    private static final double COLD =
            30_000; // where it is not handed how long servers are: longer than any known
    private static final double LEAST_KEPT =
            16; // who closes them sooner has none that is used again
    private static final int OPEN = 20_000; // reqs, where no bound is handed
    private static final double MOST_UNITS = 1e9; // of one call on the counter

    private Handed() {}

    public static Map<String, Frontend> frontends(Fields set) {
        Map<String, Frontend> found = new LinkedHashMap<>();
        for (Fields c : set.parts("Classes")) {
            double timeout = c.positive("HardLimitUs") / 1000;
            found.put(
                    c.text("Name"),
                    new Frontend(
                            c.text("Name"),
                            c.millis("OnTimeUs", timeout),
                            timeout,
                            c.amount("Value", 1),
                            c.amount("LateWorth", 0),
                            effect(c),
                            group(c),
                            c.millis("WindowUs"),
                            c.flag("Stream")));
        }
        return found;
    }

    public static Map<String, Plan> plans(Fields set) {
        Map<String, Plan> found = new LinkedHashMap<>();
        for (Fields t : set.parts("Tariffs")) {
            double rate = t.amount("QuotaRate", 0) / 1000;
            double ceilingRate = t.amount("CapRate", 0) / 1000;
            found.put(
                    t.text("Name"),
                    new Plan(
                            t.text("Name"),
                            rate,
                            store(t, "MostAtOnce", rate),
                            (int) t.amount("MaxOut", 0),
                            t.amount("Price", 1),
                            t.amount("ExtraWorth", 0),
                            t.amount("OverrunCost", 0),
                            ceilingRate,
                            store(t, "CapDepth", ceilingRate),
                            t.amount("HardSlack", 0)));
        }
        return found;
    }

    /** Of what a rate fills: without it nothing would ever fit. */
    private static double store(Fields t, String field, double rate) {
        return rate > 0 ? t.positive(field) : t.amount(field, 0);
    }

    public static Place place(Fields set) {
        return new Place(
                set.count("MyNumber", 0, 0),
                set.count("NInstances", 1),
                set.has("Az") ? set.text("Az") : "",
                set.millis("TickUs"));
    }

    public static Limits limits(Fields set) {
        Fields lim = set.part("Limits");
        return new Limits(
                lim.count("MaxAttempts", 1),
                lim.flag("MayDuplicate"),
                lim.flag("Cancel"),
                lim.flag("Peers"),
                lim.flag("Probes"),
                lim.flag("RetryAfter") ? lim.millis("MaxRetryAfterUs") : 0);
    }

    public static CounterTerms counter(Fields set) {
        Fields fam = set.optional("Specifics");
        boolean present = fam.flag("Counter");
        return new CounterTerms(
                present,
                present ? fam.positive("CountLimitUs") / 1000 : 0,
                fam.amount("UnitsTop", 1),
                fam.flag("PostPaid"));
    }

    /** Units of one req: where no bound is handed, none that is asked for is refused. */
    public static double mostUnits(Fields set) {
        return set.optional("Specifics").amount("UnitsTop", MOST_UNITS);
    }

    /** How long a connection may take to come up. */
    public static double connectWithin(Fields set) {
        return set.part("Limits").millis("ConnectTimeoutUs", CONNECT);
    }

    /** How long a connection may stand idle. */
    public static double idleMost(Fields set) {
        return Math.max(LEAST_KEPT, set.part("Limits").millis("KeepaliveUs", KEPT));
    }

    /** Reqs that may be open. */
    public static int mostOpen(Fields set) {
        int most = set.part("Limits").count("OpenCap", 0, 0);
        return most > 0 ? most : OPEN;
    }

    /** Changes of the server list come only to a gateway that asks for them. */
    public static boolean mustAsk(Fields set) {
        return set.has("Discovery") && set.text("Discovery").equals("subscribe");
    }

    public static Gateway make(Gateway.Maker maker, long seed, Fields set) {
        Fields rule = set.part("Rules");
        Fields mix = set.optional("ResultMix");
        return maker.make(
                seed,
                place(set),
                limits(set),
                new Rules(
                        rule.amount("ColdFrom", 0),
                        rule.has("ColdUs") ? rule.millis("ColdUs") : COLD,
                        rule.positive("FallMultiple"),
                        rule.millis("FallUs")),
                counter(set),
                new Goal(mix.amount("Whole", 1), mix.amount("WorstTenant", 0)),
                mustAsk(set));
    }

    private static Effect effect(Fields c) {
        return switch (c.text("Effect")) {
            case "read_like" -> Effect.IDEMPOTENT;
            case "idempotency_key" -> Effect.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Effect.NON_IDEMPOTENT;
            default -> throw c.bad("Effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    private static Group group(Fields c) {
        if (effect(c) != Effect.IDEMPOTENCY_KEY) {
            return Group.ALL;
        }
        if (!c.has("Group")) {
            return Group.CELL; // lies within any: a repeat there is dropped whatever the group is
        }
        return switch (c.text("Group")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw c.bad("Group", "all, zone or cell");
        };
    }
}
