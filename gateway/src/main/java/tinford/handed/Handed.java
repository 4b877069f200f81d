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
    private Handed() {}

    public static Map<String, Frontend> frontends(Fields set) {
        Map<String, Frontend> found = new LinkedHashMap<>();
        for (Fields c : set.parts("Classes")) {
            found.put(c.text("Name"), new Frontend(c.text("Name"), c.millis("OnTimeUs"), c.millis("HardLimitUs"),
                    c.real("Value"), c.real("LateWorth", 0), effect(c), group(c), c.millis("WindowUs"),
                    c.flag("Stream")));
        }
        return found;
    }

    public static Map<String, Plan> plans(Fields set) {
        Map<String, Plan> found = new LinkedHashMap<>();
        for (Fields t : set.parts("Tariffs")) {
            found.put(t.text("Name"), new Plan(t.text("Name"), t.real("QuotaRate", 0) / 1000, t.real("MostAtOnce", 0),
                    (int) t.real("MaxOut", 0), t.real("Price", 1), t.real("ExtraWorth", 0), t.real("OverrunCost", 0),
                    t.real("CapRate", 0) / 1000, t.real("CapDepth", 0), t.real("HardSlack", 0)));
        }
        return found;
    }

    public static Place place(Fields set) {
        return new Place((int) set.whole("MyNumber", 0), (int) set.whole("NInstances"), set.text("Az"),
                set.millis("TickUs"));
    }

    public static Limits limits(Fields set) {
        Fields lim = set.part("Limits");
        return new Limits((int) lim.whole("MaxAttempts"), lim.flag("MayDuplicate"), lim.flag("Cancel"),
                lim.flag("Peers"), lim.flag("Probes"), lim.flag("RetryAfter") ? lim.millis("MaxRetryAfterUs") : 0);
    }

    public static CounterTerms counter(Fields set) {
        Fields fam = set.part("Specifics");
        return new CounterTerms(fam.flag("Counter"), fam.millis("CountLimitUs"), fam.real("UnitsTop", 1),
                fam.flag("PostPaid"));
    }

    /** Changes of the server list come only to a gateway that asks for them. */
    public static boolean mustAsk(Fields set) {
        return set.text("Discovery").equals("subscribe");
    }

    public static Gateway make(Gateway.Maker maker, long seed, Fields set) {
        Fields rule = set.part("Rules");
        Fields mix = set.part("ResultMix");
        return maker.make(seed, place(set), limits(set),
                new Rules(rule.real("ColdFrom"), rule.millis("ColdUs"), rule.real("FallMultiple"),
                        rule.millis("FallUs")),
                counter(set), new Goal(mix.real("Whole", 1), mix.real("WorstTenant", 0)), mustAsk(set));
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
        return switch (c.text("Group")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw c.bad("Group", "all, zone or cell");
        };
    }
}
