package tinford.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.protocol.ProtocolException;

/**
 * What clients may ask for at one revision of the configuration: frontends and plans by name, and
 * the plans of customers. Immutable, so that one is built on any thread and taken into use whole.
 */
public final class Catalog {
    /** Of more names than these an error line tells only how many there are. */
    private static final int MOST_NAMED = 20;

    private final long revision;
    private final Map<String, RequestClass> frontends;
    private final Map<String, Plan> plans;
    private final Map<Long, Plan> customers;
    private final Set<Plan> inForce;
    private final double longestTimeout;

    /** As a gateway is handed it at its start, without any configuration. */
    public Catalog(Map<String, RequestClass> frontends, Map<String, Plan> plans) {
        this(0, frontends, plans, Map.of());
    }

    /**
     * @param customers the plans, out of {@code plans}, of customers by id; those who are not among
     *     them have the plan that their requests name. None of the maps is changed any more
     */
    public Catalog(
            long revision,
            Map<String, RequestClass> frontends,
            Map<String, Plan> plans,
            Map<Long, Plan> customers) {
        this.revision = revision;
        this.frontends = Collections.unmodifiableMap(frontends);
        this.plans = Collections.unmodifiableMap(plans);
        this.customers = Collections.unmodifiableMap(customers);
        this.inForce = Set.copyOf(plans.values());
        this.longestTimeout =
                frontends.values().stream().mapToDouble(f -> f.timeoutMs).max().orElse(0);
    }

    public long revision() {
        return revision;
    }

    public Map<String, RequestClass> frontends() {
        return frontends;
    }

    public Map<String, Plan> plans() {
        return plans;
    }

    /** Plans without their names. */
    Set<Plan> plansInForce() {
        return inForce;
    }

    /** The longest that a client waits, in ms. */
    double longestTimeout() {
        return longestTimeout;
    }

    RequestClass frontend(String name) throws ProtocolException {
        return known(frontends.get(name), "c", frontends.keySet());
    }

    /** The configuration's plan for the customer, else the one named. */
    Plan plan(long customer, String name) throws ProtocolException {
        Plan own = customers.isEmpty() ? null : customers.get(customer);
        return own != null ? own : known(plans.get(name), "t", plans.keySet());
    }

    private static <T> T known(T found, String term, Collection<String> names)
            throws ProtocolException {
        if (found != null) {
            return found;
        }
        throw new ProtocolException(
                term
                        + " to be one of "
                        + (names.size() <= MOST_NAMED ? names : names.size() + " names"));
    }
}
