package tinford.fleet.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * The configuration at one revision. Immutable; the maps iterate in ascending order of their keys
 * and are shared between revisions that do not differ in them.
 */
public final class Configuration {
    /** The empty configuration, at revision 0. */
    public static final Configuration EMPTY =
            new Configuration(
                    0,
                    SortedArrayMap.empty(),
                    SortedArrayMap.empty(),
                    SortedArrayMap.empty(),
                    SortedArrayMap.empty(),
                    0);

    private final long revision;
    private final SortedArrayMap<String, ServiceRecord> services;
    private final SortedArrayMap<String, RouteRecord> routes;
    private final SortedArrayMap<String, PlanRecord> plans;
    private final SortedArrayMap<Long, TenantRecord> tenants;
    private final long contentHash;

    private Configuration(
            long revision,
            SortedArrayMap<String, ServiceRecord> services,
            SortedArrayMap<String, RouteRecord> routes,
            SortedArrayMap<String, PlanRecord> plans,
            SortedArrayMap<Long, TenantRecord> tenants,
            long contentHash) {
        this.revision = revision;
        this.services = services;
        this.routes = routes;
        this.plans = plans;
        this.tenants = tenants;
        this.contentHash = contentHash;
    }

    /**
     * Creates a configuration from its records, which are not validated. If several records have
     * the same key, the last one is used.
     */
    static Configuration of(
            long revision,
            Collection<ServiceRecord> services,
            Collection<RouteRecord> routes,
            Collection<PlanRecord> plans,
            Collection<TenantRecord> tenants) {
        SortedArrayMap<String, ServiceRecord> serviceMap =
                SortedArrayMap.of(services, ServiceRecord::name);
        SortedArrayMap<String, RouteRecord> routeMap = SortedArrayMap.of(routes, RouteRecord::name);
        SortedArrayMap<String, PlanRecord> planMap = SortedArrayMap.of(plans, PlanRecord::name);
        SortedArrayMap<Long, TenantRecord> tenantMap = SortedArrayMap.of(tenants, TenantRecord::id);
        long hash =
                sum(serviceMap.values(), ContentHash::of)
                        + sum(routeMap.values(), ContentHash::of)
                        + sum(planMap.values(), ContentHash::of)
                        + sum(tenantMap.values(), ContentHash::of);
        return new Configuration(revision, serviceMap, routeMap, planMap, tenantMap, hash);
    }

    /** The number of this revision; 0 for {@link #EMPTY}. */
    public long revision() {
        return revision;
    }

    /** The services by name. */
    public Map<String, ServiceRecord> services() {
        return services;
    }

    /** The routes by name. */
    public Map<String, RouteRecord> routes() {
        return routes;
    }

    /** The plans by name. */
    public Map<String, PlanRecord> plans() {
        return plans;
    }

    /** The tenants by id. */
    public Map<Long, TenantRecord> tenants() {
        return tenants;
    }

    /**
     * A 64-bit hash of the content without the revision. It is the same in every process and is
     * computed once.
     */
    public long contentHash() {
        return contentHash;
    }

    /** A copy with the changes applied in order, at a later revision; they are not validated. */
    public Configuration with(long laterRevision, List<Change> changes) {
        Edits edits = new Edits();
        for (Change change : changes) {
            edits.add(change);
        }
        long hash =
                contentHash
                        + difference(services, edits.services, ContentHash::of)
                        + difference(routes, edits.routes, ContentHash::of)
                        + difference(plans, edits.plans, ContentHash::of)
                        + difference(tenants, edits.tenants, ContentHash::of);
        return new Configuration(
                laterRevision,
                services.with(edits.services),
                routes.with(edits.routes),
                plans.with(edits.plans),
                tenants.with(edits.tenants),
                hash);
    }

    /** The changes that turn the content of this configuration into that of another. */
    public List<Change> changesTo(Configuration other) {
        List<Change> changes = new ArrayList<>();
        addPuts(changes, services, other.services, Change.PutService::new);
        addPuts(changes, plans, other.plans, Change.PutPlan::new);
        addPuts(changes, routes, other.routes, Change.PutRoute::new);
        addPuts(changes, tenants, other.tenants, Change.PutTenant::new);
        addRemovals(changes, tenants, other.tenants, Change.RemoveTenant::new);
        addRemovals(changes, routes, other.routes, Change.RemoveRoute::new);
        addRemovals(changes, plans, other.plans, Change.RemovePlan::new);
        addRemovals(changes, services, other.services, Change.RemoveService::new);
        return changes;
    }

    private static <K, V> void addPuts(
            List<Change> changes, Map<K, V> from, Map<K, V> to, Function<V, Change> put) {
        if (from == to) {
            return;
        }
        to.forEach(
                (key, value) -> {
                    if (!Objects.equals(from.get(key), value)) {
                        changes.add(put.apply(value));
                    }
                });
    }

    private static <K, V> void addRemovals(
            List<Change> changes, Map<K, V> from, Map<K, V> to, Function<K, Change> remove) {
        if (from == to) {
            return;
        }
        for (K key : from.keySet()) {
            if (!to.containsKey(key)) {
                changes.add(remove.apply(key));
            }
        }
    }

    private static <V> long sum(Collection<V> values, ToLongFunction<V> hash) {
        return values.stream().mapToLong(hash).sum();
    }

    /** The difference that edits make to the sum of the records' hashes. */
    private static <K extends Comparable<K>, V> long difference(
            SortedArrayMap<K, V> before, SortedMap<K, V> edits, ToLongFunction<V> hash) {
        long difference = 0;
        for (Map.Entry<K, V> edit : edits.entrySet()) {
            V old = before.get(edit.getKey());
            difference -= old == null ? 0 : hash.applyAsLong(old);
            difference += edit.getValue() == null ? 0 : hash.applyAsLong(edit.getValue());
        }
        return difference;
    }

    /** The records changed by a change set, by key; null for a removed record. */
    private static final class Edits {
        private final SortedMap<String, ServiceRecord> services = new TreeMap<>();
        private final SortedMap<String, RouteRecord> routes = new TreeMap<>();
        private final SortedMap<String, PlanRecord> plans = new TreeMap<>();
        private final SortedMap<Long, TenantRecord> tenants = new TreeMap<>();

        private void add(Change change) {
            if (change instanceof Change.PutService put) {
                services.put(put.service().name(), put.service());
            } else if (change instanceof Change.RemoveService remove) {
                services.put(remove.name(), null);
            } else if (change instanceof Change.PutRoute put) {
                routes.put(put.route().name(), put.route());
            } else if (change instanceof Change.RemoveRoute remove) {
                routes.put(remove.name(), null);
            } else if (change instanceof Change.PutPlan put) {
                plans.put(put.plan().name(), put.plan());
            } else if (change instanceof Change.RemovePlan remove) {
                plans.put(remove.name(), null);
            } else if (change instanceof Change.PutTenant put) {
                tenants.put(put.tenant().id(), put.tenant());
            } else if (change instanceof Change.RemoveTenant remove) {
                tenants.put(remove.id(), null);
            }
        }
    }
}
