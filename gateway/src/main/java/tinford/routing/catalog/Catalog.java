package tinford.routing.catalog;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.protocol.ProtocolException;

/**
 * The request classes and plans that clients may name, and the plans assigned to tenants, at one
 * revision of the configuration. Immutable: a catalog can be built on any thread, and replaces the
 * previous one as a whole.
 */
public final class Catalog {
    /** Longest list of valid names in an error line; a longer one is replaced by its length. */
    private static final int MAX_LISTED_NAMES = 20;

    /** Name of the request class field in client commands. */
    private static final String REQUEST_CLASS_FIELD = "c";

    /** Name of the plan field in client commands. */
    private static final String PLAN_FIELD = "t";

    private final long revision;
    private final Map<String, RequestClass> requestClasses;
    private final Map<String, Plan> plans;
    private final Map<Long, Plan> plansByTenant;
    private final Set<Plan> plansInForce;
    private final double longestTimeoutMs;
    private final double longestDeduplicationWindowMs;

    /** The catalog from a gateway's settings, in force until it receives a configuration. */
    public Catalog(Map<String, RequestClass> requestClasses, Map<String, Plan> plans) {
        this(0, requestClasses, plans, Map.of());
    }

    /**
     * The maps are not copied: they must not be modified afterwards.
     *
     * @param plansByTenant plans by tenant id, all of them contained in {@code plans}; a tenant
     *     without an entry has the plan that its requests name
     */
    public Catalog(
            long revision,
            Map<String, RequestClass> requestClasses,
            Map<String, Plan> plans,
            Map<Long, Plan> plansByTenant) {
        this.revision = revision;
        this.requestClasses = Collections.unmodifiableMap(requestClasses);
        this.plans = Collections.unmodifiableMap(plans);
        this.plansByTenant = Collections.unmodifiableMap(plansByTenant);
        this.plansInForce = Set.copyOf(plans.values());
        this.longestTimeoutMs =
                requestClasses.values().stream().mapToDouble(c -> c.timeoutMs).max().orElse(0);
        this.longestDeduplicationWindowMs =
                requestClasses.values().stream()
                        .mapToDouble(c -> c.deduplicationWindowMs)
                        .max()
                        .orElse(0);
    }

    public long revision() {
        return revision;
    }

    /** The request classes by name. */
    public Map<String, RequestClass> requestClasses() {
        return requestClasses;
    }

    /** The plans by name. */
    public Map<String, Plan> plans() {
        return plans;
    }

    /** The plans without their names. */
    public Set<Plan> plansInForce() {
        return plansInForce;
    }

    /** The longest timeout of all request classes, or 0 if there are none. */
    public double longestTimeoutMs() {
        return longestTimeoutMs;
    }

    /** The longest deduplication window of all request classes, or 0 if there are none. */
    public double longestDeduplicationWindowMs() {
        return longestDeduplicationWindowMs;
    }

    /**
     * Returns the request class with a name.
     *
     * @throws ProtocolException if there is no request class with this name
     */
    public RequestClass requestClass(String name) throws ProtocolException {
        return checkKnown(requestClasses.get(name), REQUEST_CLASS_FIELD, requestClasses.keySet());
    }

    /**
     * Returns the plan that the configuration assigns to a tenant, or else the plan with the name.
     *
     * @throws ProtocolException if the configuration assigns none and there is no plan with this
     *     name
     */
    public Plan planFor(long tenant, String name) throws ProtocolException {
        Plan configured = plansByTenant.isEmpty() ? null : plansByTenant.get(tenant);
        return configured != null
                ? configured
                : checkKnown(plans.get(name), PLAN_FIELD, plans.keySet());
    }

    private static <T> T checkKnown(T found, String field, Collection<String> names)
            throws ProtocolException {
        if (found != null) {
            return found;
        }
        Object listed = names.size() <= MAX_LISTED_NAMES ? names : names.size() + " names";
        throw new ProtocolException(field + " to be one of " + listed);
    }
}
