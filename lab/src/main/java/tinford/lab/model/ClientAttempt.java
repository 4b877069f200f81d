package tinford.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;

/** One try of a client, with its history. */
public final class ClientAttempt extends Request {
    final Asked asked;
    final double work;
    final double arrived;
    private final LongSupplier gateway; // which life the gateway that took it is in
    final long life;
    public final List<ServerVisit> visits = new ArrayList<>(1);
    private final List<String> events = new ArrayList<>(4);
    int answers;
    boolean left;
    boolean over;
    boolean beyond;

    /** What a client asked for first; its tries belong to it. */
    public static final class Asked {
        final Tenant customer;
        final RequestClass frontend;
        final double units;
        final double work;
        final double value;
        final boolean inside;
        int tries;
        boolean passed;

        public Asked(
                Tenant customer, RequestClass frontend, double units, double work, boolean inside) {
            this.customer = customer;
            this.frontend = frontend;
            this.units = units;
            this.work = work;
            this.inside = inside;
            this.value = frontend.priorityWeight * customer.plan.priorityWeight * units;
        }
    }

    /** A dispatch, as the wires show it. */
    public static final class ServerVisit {
        final ServerMachine to;
        final double at;
        ServerMachine.Visit visit;
        public AttemptOutcome end;

        public ServerVisit(ServerMachine to, double at) {
            this.to = to;
            this.at = at;
        }
    }

    /**
     * @param gateway tells which life the gateway that takes it is in: one that has died owes
     *     nothing
     */
    public ClientAttempt(long id, Asked asked, LongSupplier gateway, double now, boolean resent) {
        super(
                id,
                asked.frontend,
                asked.customer,
                now + asked.frontend.timeoutMs,
                asked.units,
                resent);
        this.asked = asked;
        this.work = asked.work;
        this.gateway = gateway;
        this.life = gateway.getAsLong();
        this.arrived = now;
    }

    boolean mayHaveRun() {
        return visits.stream().anyMatch(h -> h.end == null || h.end.mayHaveRun);
    }

    boolean gatewayGone() {
        return gateway.getAsLong() != life;
    }

    void record(double now, String what) {
        events.add(Math.round(now - arrived) + " ms " + what);
    }

    String story() {
        return "req "
                + id
                + " ("
                + requestClass.name
                + ", "
                + tenant.plan.name
                + "): "
                + String.join(", ", events);
    }
}
