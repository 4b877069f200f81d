package tinford.lab.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.fleet.config.PlanRecord;
import tinford.lab.fleet.History;

/**
 * What the servers of a load were sent for the customers of one plan, against quotas and ceilings
 * that change on the way. What a customer used before a change counts after it: a bucket keeps its
 * level, but for what no longer fits.
 */
final class QuotaUse {
    /** On its way when a change comes into force, and apart by the clocks of the parties. */
    private static final double GRACE_MS = 100;

    private final Map<String, History.Line> asked = new HashMap<>();
    private final Map<String, Bucket> quotas = new HashMap<>();
    private final Map<String, Bucket> ceilings = new HashMap<>();
    private final String planName;
    private PlanRecord plan;
    private double units;
    private double unitsBeyond;
    private double leastLeft;

    /**
     * The plan is that from a moment on (monotone ms).
     *
     * @param at when the last gateway had it in force, where it allows less than the one before;
     *     when it was entered, where it allows more
     */
    record Phase(double at, PlanRecord plan) {}

    /**
     * Of one phase.
     *
     * @param beyond the part of the units that was beyond the quota
     * @param leastLeft units that the customer nearest to its ceiling had left of it; below 0 it
     *     was over
     */
    record Reading(PlanRecord plan, double units, double beyond, double leastLeft) {
        /**
         * Units by which the most blatant customer was over the ceiling and its slack; 0 or less is
         * none.
         */
        double overCeiling() {
            double grace = plan.hardLimitPerSecond() * GRACE_MS / 1000;
            return -leastLeft - plan.hardLimitSlack() - grace;
        }
    }

    /** Units that flow in at a rate, up to a depth. */
    private static final class Bucket {
        double level;
        double at;

        Bucket(double level, double at) {
            this.level = level;
            this.at = at;
        }

        void fill(double now, double perSecond, double depth) {
            level = Math.min(depth, level + Math.max(0, now - at) * perSecond / 1000);
            at = now;
        }
    }

    private QuotaUse(String planName) {
        this.planName = planName;
    }

    /**
     * @param phases in the order of time, the first from the start
     */
    static List<Reading> of(List<History.Line> lines, List<Phase> phases) {
        QuotaUse use = new QuotaUse(phases.get(0).plan().name());
        List<Reading> readings = new ArrayList<>();
        int next = 0;
        for (History.Line line : lines) {
            while (next < phases.size() && phases.get(next).at() <= line.at()) {
                if (next > 0) {
                    readings.add(use.reading());
                }
                use.change(phases.get(next++));
            }
            if (use.plan != null) {
                use.see(line);
            }
        }
        readings.add(use.reading());
        return readings;
    }

    private void change(Phase phase) {
        if (plan != null) {
            quotas.values().forEach(b -> b.fill(phase.at(), plan.quotaPerSecond(), plan.burst()));
            ceilings.values()
                    .forEach(
                            b ->
                                    b.fill(
                                            phase.at(),
                                            plan.hardLimitPerSecond(),
                                            plan.hardLimitBurst()));
        }
        plan = phase.plan();
        units = 0;
        unitsBeyond = 0;
        leastLeft = Double.POSITIVE_INFINITY;
    }

    private Reading reading() {
        return new Reading(plan, units, units == 0 ? 0 : unitsBeyond / units, leastLeft);
    }

    private void see(History.Line line) {
        if (line.kind().equals("asked") && line.text("plan").equals(planName)) {
            asked.put(line.text("req"), line);
        } else if (line.kind().equals("dispatch") && !line.is("further")) {
            History.Line ask = asked.remove(line.text("req"));
            if (ask != null) {
                count(ask.text("customer"), line.fields().path("units").asDouble(), line.at());
            }
        }
    }

    private void count(String customer, double taken, double now) {
        units += taken;
        Bucket quota = quotas.computeIfAbsent(customer, k -> new Bucket(plan.burst(), now));
        quota.fill(now, plan.quotaPerSecond(), plan.burst());
        if (quota.level + plan.quotaPerSecond() * GRACE_MS / 1000 < taken) {
            unitsBeyond += taken;
        } else {
            quota.level -= taken;
        }
        Bucket ceiling =
                ceilings.computeIfAbsent(customer, k -> new Bucket(plan.hardLimitBurst(), now));
        ceiling.fill(now, plan.hardLimitPerSecond(), plan.hardLimitBurst());
        ceiling.level -= taken;
        leastLeft = Math.min(leastLeft, ceiling.level);
    }
}
