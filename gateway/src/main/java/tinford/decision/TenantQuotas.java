package tinford.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.GatewayActions;
import tinford.api.Tenant;

/**
 * The quotas of the tenants seen lately. Where memory is short, those that were used least recently
 * and decide nothing at present are evicted: their usage is read from the counter again when the
 * tenant comes back.
 */
final class TenantQuotas {
    /** Heap size of a quota with its windows, its buckets, its tenant and its map entry. */
    private static final int QUOTA_BYTES = 512;

    /** How many of the least recently used quotas are tried for one that may be evicted early. */
    private static final int MAX_TRIED = 16;

    private final PlanFairness fairness;
    private final RequestSizeModel sizes;
    private final GatewayLifecycle lifecycle;

    /** In the order of their last use. */
    private final Map<Long, TenantQuota> quotas = new LinkedHashMap<>(16, 0.75f, true);

    TenantQuotas(PlanFairness fairness, RequestSizeModel sizes, GatewayLifecycle lifecycle) {
        this.fairness = fairness;
        this.sizes = sizes;
        this.lifecycle = lifecycle;
    }

    /** Returns the quota of a known tenant, or null. */
    TenantQuota get(long tenantId) {
        return quotas.get(tenantId);
    }

    /** Returns the tenant's quota; null if it is a new tenant and there is no memory for it. */
    TenantQuota getOrCreate(Batch batch, Tenant tenant) {
        TenantQuota quota = quotas.get(tenant.id);
        if (quota == null) {
            if (!reserveMemory(batch)) {
                return null;
            }
            quota = new TenantQuota(tenant, fairness, sizes, lifecycle, batch.nowMs);
            quotas.put(tenant.id, quota);
        }
        return quota;
    }

    private boolean reserveMemory(Batch batch) {
        while (!batch.actions.reserveMemory(QUOTA_BYTES)) {
            if (!evictOne(batch)) {
                return false;
            }
        }
        return true;
    }

    private boolean evictOne(Batch batch) {
        Iterator<TenantQuota> leastRecent = quotas.values().iterator();
        for (int i = 0; i < MAX_TRIED && leastRecent.hasNext(); i++) {
            if (leastRecent.next().mayEvictEarly(batch.nowMs)) {
                leastRecent.remove();
                batch.actions.releaseMemory(QUOTA_BYTES);
                return true;
            }
        }
        return false;
    }

    /** After two windows without a request a tenant's totals no longer count. */
    void evictIdle(GatewayActions actions, double nowMs) {
        int before = quotas.size();
        quotas.values().removeIf(quota -> quota.isEvictable(nowMs));
        actions.releaseMemory((long) QUOTA_BYTES * (before - quotas.size()));
    }

    int size() {
        return quotas.size();
    }
}
