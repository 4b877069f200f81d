package tinford.routing.catalog;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.protocol.ProtocolException;

/**
 * What clients may name at one revision of the configuration: request classes and plans, and the
 * plans of tenants. Immutable: built on any thread, and brought into force as a whole.
 */
public final class Catalog {
    /** With more names than these an error line says only how many there are. */
    private static final int MAX_LISTED_NAMES = 20;

    /** The wire's name of the field that names a request class. */
    private static final String REQUEST_CLASS_FIELD = "c";

    /** The wire's name of the field that names a plan. */
    private static final String PLAN_FIELD = "t";

    private final long revision;
    private final Map<String, RequestClass> requestClasses;
    private final Map<String, Plan> plans;
    private final Map<Long, Plan> plansByTenant;
    private final Set<Plan> plansInForce;
    private final double longestTimeoutMs;

    /** The catalog of a gateway's settings, in force until a configuration comes. */
    public Catalog(Map<String, RequestClass> requestClasses, Map<String, Plan> plans) {
        this(0, requestClasses, plans, Map.of());
    }

    /**
     * The maps must not change any more.
     *
     * @param plansByTenant plans, out of {@code plans}, by tenant id; a tenant not among them has
     *     the plan that its requests name
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

    /** The longest time that a client waits; 0 without request classes. */
    public double longestTimeoutMs() {
        return longestTimeoutMs;
    }

    /**
     * @throws ProtocolException if there is no request class of that name
     */
    public RequestClass requestClass(String name) throws ProtocolException {
        return checkKnown(requestClasses.get(name), REQUEST_CLASS_FIELD, requestClasses.keySet());
    }

    /**
     * The plan that the configuration gives a tenant, else the one named.
     *
     * @throws ProtocolException if it gives none and there is no plan of that name
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
