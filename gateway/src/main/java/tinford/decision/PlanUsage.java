package tinford.decision;

/**
 * Recent demand of one plan's tenants within their quotas, and the part of it that was forwarded.
 */
final class PlanUsage {
    private static final double EPSILON = 1e-9;

    /** Priority-weighted units that were offered within quotas. */
    final RollingSum offered = new RollingSum();

    /** Priority-weighted units that were forwarded. */
    final RollingSum forwarded = new RollingSum();

    /** Factor on the priority weight of the plan's requests. */
    double priorityBoost = 1;

    double forwardedShare(double nowMs) {
        return (forwarded.total(nowMs) + EPSILON) / (offered.total(nowMs) + EPSILON);
    }

    /** Returns the units offered over all plans, as a multiple of those offered by this plan. */
    double inverseDemandShare(double allOffered, double nowMs) {
        return allOffered / (offered.total(nowMs) + EPSILON);
    }
}
