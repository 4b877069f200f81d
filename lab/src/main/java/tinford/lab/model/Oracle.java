package tinford.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;

/**
 * The five rules, looked at from outside: it sees what crosses the wires and nothing of what the
 * decisions think.
 */
public final class Oracle {
    private static final int MAX_BREAKS_KEPT = 50;
    private static final double SLACK = 50; // for what is on its way
    private final double grace;
    private final SlowStartBudget cold;
    private final List<String> broken = new ArrayList<>();
    private final Map<Long, double[]> ceilings = new HashMap<>(); // level, since
    private long count;

    /**
     * @param meanWork of the requests, which what the settings allow cold servers is counted in
     */
    public Oracle(double grace, double fallMultiple, double fallTime, double meanWork) {
        this.grace = grace;
        this.cold = new SlowStartBudget(fallMultiple, fallTime, meanWork);
    }

    SlowStartBudget cold() {
        return cold;
    }

    /** The first ones, each with the history of its request. */
    public List<String> broken() {
        return broken;
    }

    public long count() {
        return count;
    }

    private void breaks(String rule, ClientAttempt t, String what) {
        count++;
        if (broken.size() < MAX_BREAKS_KEPT) {
            broken.add(rule + ": " + what + (t == null ? "" : "; " + t.story()));
        }
    }

    /** The final answer of a request, as it leaves its gateway. */
    public void answered(ClientAttempt t, String answer, double now) {
        t.record(now, answer);
        if (t.answers++ > 0) {
            breaks("lost", t, "a second final answer");
        } else if (now > t.deadlineMs + SLACK && !t.left && !t.gatewayGone()) {
            breaks("lost", t, "answered after the client timeout");
        }
        if (answer.equals("denied")
                && t.requestClass.idempotency != Idempotency.IDEMPOTENT
                && t.mayHaveRun()) {
            boolean harmless =
                    t.requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                            && t.requestClass.deduplicationScope == DeduplicationScope.ALL;
            if (!harmless) {
                breaks("effect", t, "denied though it may have run");
            }
        }
    }

    /** The client's time is over. */
    public void expired(ClientAttempt t, double now) {
        if (t.answers == 0 && !t.left && !t.gatewayGone()) {
            breaks("lost", t, "no answer by the client timeout");
        }
    }

    /** A dispatch leaves its gateway. */
    public void dispatched(
            ClientAttempt t, ServerMachine m, double now, double toldAt, boolean first) {
        t.record(now, "dispatch " + t.visits.size() + " to " + m.id);
        if (t.answers > 0) {
            breaks("lost", t, "a dispatch after the final answer");
        }
        if (now > toldAt + grace + SLACK) {
            breaks(
                    "drain",
                    t,
                    "sent "
                            + Math.round(now - toldAt)
                            + " ms after the drain of "
                            + m.id
                            + " was told");
        }
        for (ClientAttempt.ServerVisit h : t.visits) {
            boolean may = h.end == null || h.end.mayHaveRun;
            if (h.end == null) {
                breaks("effect", t, "two dispatches out at once");
            } else if (may && t.requestClass.idempotency == Idempotency.NON_IDEMPOTENT) {
                breaks("effect", t, "dispatched again though it may have run");
            } else if (may
                    && t.requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY
                    && (outside(t.requestClass.deduplicationScope, h.to, m)
                            || now - h.at > t.requestClass.deduplicationWindowMs + SLACK)) {
                breaks("effect", t, "repeated where it is not recognised");
            }
        }
        if (first) {
            ceiling(t, now);
        }
    }

    private static boolean outside(DeduplicationScope group, ServerMachine a, ServerMachine b) {
        return group == DeduplicationScope.ZONE && !a.zone.equals(b.zone)
                || group == DeduplicationScope.CELL && a.cell != b.cell;
    }

    private void ceiling(ClientAttempt t, double now) {
        Plan p = t.tenant.plan;
        if (p.hardLimitPerMs <= 0) {
            return;
        }
        double[] c =
                ceilings.computeIfAbsent(t.tenant.id, id -> new double[] {p.hardLimitBurst, now});
        c[0] = Math.min(p.hardLimitBurst, c[0] + (now - c[1]) * p.hardLimitPerMs) - t.units;
        c[1] = now;
        if (c[0] < -p.hardLimitSlack) {
            breaks("ceiling", t, "customer " + t.tenant.id + " is " + -c[0] + " below nought");
        }
    }

    /**
     * Work comes to a server; true when it was cold and falls under it.
     *
     * @param told whether the gateway that sent it knew of the server's start
     */
    public boolean arrives(ServerMachine m, double work, double now, boolean told) {
        SlowStartBudget.Approach a = cold.arrives(m, work, now, told);
        if (a.broken()) {
            breaks(
                    "cold",
                    null,
                    String.format(
                            Locale.ROOT,
                            "%s fell at %.1f reqs of mean work, %.1f being the most, %.2f of them"
                                    + " from gateways told of its start, %.0f ms after it",
                            m.id,
                            a.requests(),
                            a.most(),
                            a.told(),
                            now - m.born));
        }
        return a.falls();
    }
}
