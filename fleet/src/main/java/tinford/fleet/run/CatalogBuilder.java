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
 * Builds the catalogs that a gateway serves by from configurations. Routes and plans that are equal
 * to those of the configuration before keep their objects, so that the gateway's state of them
 * stays. No I/O; not thread-safe.
 */
final class CatalogBuilder {
    /** This gateway can't serve by the configuration. */
    static final class UnusableConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusableConfigurationException(String key, String expected) {
            super(new ValidationError(key, expected).toString());
        }
    }

    /** Memory of a tenant in the configuration, the catalog, and both of their successors. */
    private static final int BYTES_PER_TENANT = 512;

    /** Tenants may take the heap divided by this. */
    private static final int HEAP_DIVISOR = 2;

    private static final double MS_PER_SECOND = 1000;
    private final Set<String> neededRoutes;
    private final long maxTenants;
    private Configuration configuration = Configuration.EMPTY;
    private Catalog catalog = new Catalog(Map.of(), Map.of());

    /**
     * @param neededRoutes without which a configuration is rejected
     * @param heapBytes the largest heap of the process
     */
    CatalogBuilder(Set<String> neededRoutes, long heapBytes) {
        this.neededRoutes = Set.copyOf(neededRoutes);
        this.maxTenants = heapBytes / HEAP_DIVISOR / BYTES_PER_TENANT;
    }

    /** Builds the catalog of a configuration; a rejected one changes nothing. */
    Catalog build(Configuration next) throws UnusableConfigurationException {
        check(next);
        Map<String, RequestClass> requestClasses = new LinkedHashMap<>();
        next.routes().forEach((name, route) -> requestClasses.put(name, requestClass(route)));
        Map<String, tinford.api.Plan> plans = new LinkedHashMap<>();
        next.plans().forEach((name, plan) -> plans.put(name, plan(plan)));
        Map<Long, tinford.api.Plan> tenants = new HashMap<>();
        next.tenants().forEach((id, tenant) -> tenants.put(id, plans.get(tenant.plan())));
        configuration = next;
        catalog = new Catalog(next.revision(), requestClasses, plans, tenants);
        return catalog;
    }

    private void check(Configuration next) throws UnusableConfigurationException {
        for (String route : neededRoutes) {
            if (!next.routes().containsKey(route)) {
                throw new UnusableConfigurationException(
                        "routes." + route, "to be there while moves.homes of the gateway names it");
            }
        }
        if (next.tenants().size() > maxTenants) {
            throw new UnusableConfigurationException(
                    "tenants",
                    "at most "
                            + maxTenants
                            + " for the heap of this gateway, not "
                            + next.tenants().size());
        }
    }

    private RequestClass requestClass(RouteRecord route) {
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
                plan.quotaPerSecond() / MS_PER_SECOND,
                plan.burst(),
                plan.maxOpenRequests(),
                plan.priorityWeight(),
                plan.overQuotaWeight(),
                plan.overQuotaCost(),
                plan.hardLimitPerSecond() / MS_PER_SECOND,
                plan.hardLimitBurst(),
                plan.hardLimitSlack());
    }
}
