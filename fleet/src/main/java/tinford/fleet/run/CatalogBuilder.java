package tinford.fleet.run;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import tinford.api.RequestClass;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ValidationError;
import tinford.routing.catalog.Catalog;

/**
 * Turns configurations into the catalogs that a gateway serves by. Routes and plans that are the
 * same in the configuration before keep their objects, so that what the gateway keeps for them
 * stays. No I/O; not thread-safe.
 */
final class CatalogBuilder {
    /** This gateway can't serve by the configuration. */
    static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String key, String expected) {
            super(new ValidationError(key, expected).toString());
        }
    }

    /** What a tenant takes in the configuration, the catalog, and both of their successors. */
    private static final int BYTES_PER_TENANT = 512;

    /** Of the heap, the part that tenants may take. */
    private static final int HEAP_PART_OF_TENANTS = 2;

    private static final double SECOND_MS = 1000;
    private final Set<String> neededRoutes;
    private final long mostTenants;
    private Configuration configuration = Configuration.EMPTY;
    private Catalog catalog = new Catalog(Map.of(), Map.of());

    /**
     * @param neededRoutes that this gateway can't do without
     * @param heapBytes that the process may use
     */
    CatalogBuilder(Set<String> neededRoutes, long heapBytes) {
        this.neededRoutes = Set.copyOf(neededRoutes);
        this.mostTenants = heapBytes / HEAP_PART_OF_TENANTS / BYTES_PER_TENANT;
    }

    /** The catalog of a configuration; nothing here changes where it is refused. */
    Catalog build(Configuration next) throws Unusable {
        check(next);
        Map<String, RequestClass> frontends = new LinkedHashMap<>();
        next.routes().forEach((name, route) -> frontends.put(name, frontend(route)));
        Map<String, tinford.api.Plan> plans = new LinkedHashMap<>();
        next.plans().forEach((name, plan) -> plans.put(name, plan(plan)));
        Map<Long, tinford.api.Plan> tenants = new HashMap<>();
        next.tenants().forEach((id, tenant) -> tenants.put(id, plans.get(tenant.plan())));
        configuration = next;
        catalog = new Catalog(next.revision(), frontends, plans, tenants);
        return catalog;
    }

    private void check(Configuration next) throws Unusable {
        for (String route : neededRoutes) {
            if (!next.routes().containsKey(route)) {
                throw new Unusable(
                        "routes." + route, "to be there while moves.homes of the gateway names it");
            }
        }
        if (next.tenants().size() > mostTenants) {
            throw new Unusable(
                    "tenants",
                    "at most "
                            + mostTenants
                            + " for the heap of this gateway, not "
                            + next.tenants().size());
        }
    }

    private RequestClass frontend(RouteRecord route) {
        if (route.equals(configuration.routes().get(route.name()))) {
            return catalog.requestClasses().get(route.name());
        }
        return new RequestClass(
                route.name(),
                route.latencyObjectiveMs(),
                route.timeoutMs(),
                route.priorityWeight(),
                route.lateWeight(),
                route.idempotency(),
                route.deduplicationScope(),
                route.deduplicationWindowMs(),
                route.streamed());
    }

    private tinford.api.Plan plan(PlanRecord plan) {
        if (plan.equals(configuration.plans().get(plan.name()))) {
            return catalog.plans().get(plan.name());
        }
        return new tinford.api.Plan(
                plan.name(),
                plan.quotaPerSecond() / SECOND_MS,
                plan.burst(),
                plan.maxOpenRequests(),
                plan.priorityWeight(),
                plan.overQuotaWeight(),
                plan.overQuotaCost(),
                plan.hardLimitPerSecond() / SECOND_MS,
                plan.hardLimitBurst(),
                plan.hardLimitSlack());
    }
}
