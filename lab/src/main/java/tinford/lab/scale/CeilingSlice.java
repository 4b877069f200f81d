package tinford.lab.scale;

import tinford.api.Tenant;

/**
 * One gateway's even slice of a tenant's hard ceiling, as the decisions hold it: empty at the start
 * of the gateway, filled evenly, drawn on by each first dispatch.
 */
final class CeilingSlice {
    private final double rate;
    private final double depth;
    private double level;
    private double levelAt;

    CeilingSlice(Tenant tenant, double startedAt) {
        double slice = 1.0 / Math.max(1, tenant.fanIn);
        this.rate = tenant.plan.hardLimitPerMs * slice;
        this.depth = tenant.plan.hardLimitBurst * slice;
        this.levelAt = startedAt;
    }

    /** Since when it has had room for so many units. */
    double roomSince(double units) {
        return level >= units ? levelAt : levelAt + (units - level) / rate;
    }

    void take(double units, double now) {
        level = Math.min(depth, level + (now - levelAt) * rate) - units;
        levelAt = now;
    }
}
