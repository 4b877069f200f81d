package tinford.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import tinford.api.Objectives;
import tinford.api.Plan;

/**
 * Boosts the priority of the worst-served plan, so that plans with a low priority weight do not
 * starve in the admission queue.
 */
final class PlanFairness {
    private static final double MAX_INVERSE_DEMAND_SHARE = 20;
    private static final double MIN_OVERALL_WEIGHT = 0.01;

    private final double worstPlanWeight;

    /** Keyed by plan identity, in the order in which the plans were first used. */
    private final Map<Plan, PlanUsage> usageByPlan = new LinkedHashMap<>();

    PlanFairness(Objectives objectives) {
        this.worstPlanWeight =
                objectives.worstPlanWeight()
                        / Math.max(MIN_OVERALL_WEIGHT, objectives.overallWeight());
    }

    PlanUsage usageOf(Plan plan) {
        return usageByPlan.computeIfAbsent(plan, unused -> new PlanUsage());
    }

    int planCount() {
        return usageByPlan.size();
    }

    void retainPlans(Set<Plan> plans) {
        usageByPlan.keySet().retainAll(plans);
    }

    void updateBoosts(double nowMs) {
        double allOffered =
                usageByPlan.values().stream()
                        .mapToDouble(usage -> usage.offered.total(nowMs))
                        .sum();
        for (PlanUsage usage : usageByPlan.values()) {
            usage.priorityBoost = 1;
        }
        usageByPlan.values().stream()
                .min((a, b) -> Double.compare(a.forwardedShare(nowMs), b.forwardedShare(nowMs)))
                .ifPresent(worst -> boost(worst, allOffered, nowMs));
    }

    private void boost(PlanUsage worst, double allOffered, double nowMs) {
        worst.priorityBoost +=
                worstPlanWeight
                        * Math.min(
                                MAX_INVERSE_DEMAND_SHARE,
                                worst.inverseDemandShare(allOffered, nowMs));
    }
}
