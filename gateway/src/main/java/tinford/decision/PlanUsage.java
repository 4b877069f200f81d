package tinford.decision;

/**
 * What the tenants of one plan recently asked for within their quotas, and how much of it was
 * forwarded.
 */
final class PlanUsage {
    private static final double AVOID_ZERO = 1e-9;

    /** Weighted units within quotas. */
    final RollingSum offered = new RollingSum();

    /** Of these, the units that were forwarded. */
    final RollingSum forwarded = new RollingSum();

    /** Factor on the priority weight of its requests. */
    double priorityBoost = 1;

    double forwardedShare(double nowMs) {
        return (forwarded.total(nowMs) + AVOID_ZERO) / (offered.total(nowMs) + AVOID_ZERO);
    }

    /** This plan's part of all that was offered, as the factor by which the others exceed it. */
    double scarcity(double allOffered, double nowMs) {
        return allOffered / (offered.total(nowMs) + AVOID_ZERO);
    }
}
