package tinford.routing.client;

import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.routing.RoutingContext;
import tinford.routing.catalog.Catalog;

/** Makes requests from commands, as the catalog in force and the limits allow. */
final class ClientRequestFactory {
    private final RoutingContext context;
    private final ClientLimits limits;
    private final OpenRequests openRequests;
    private Catalog catalog;
    private double longestTimeoutMs;

    ClientRequestFactory(
            RoutingContext context,
            ClientLimits limits,
            OpenRequests openRequests,
            Catalog catalog) {
        this.context = context;
        this.limits = limits;
        this.openRequests = openRequests;
        useCatalog(catalog);
    }

    /** For requests from now on; open ones keep their request class and plan. */
    void useCatalog(Catalog next) {
        catalog = next;
        longestTimeoutMs = Math.max(longestTimeoutMs, next.longestTimeoutMs());
    }

    /** The longest time that a client waits, under any catalog so far. */
    double longestTimeoutMs() {
        return longestTimeoutMs;
    }

    /**
     * @throws ProtocolException if the command does not fit the catalog or the limits
     */
    ClientRequest create(ClientConnection connection, ClientCommand command)
            throws ProtocolException {
        RequestClass requestClass = catalog.requestClass(command.requestClass);
        Plan plan = catalog.planFor(command.tenant, command.plan);
        check(command, requestClass);
        Tenant tenant =
                new Tenant(
                        command.tenant,
                        plan,
                        command.fanIn,
                        command.firstGateway,
                        catalog.revision());
        double timeoutMs = Math.min(command.timeoutMs, requestClass.timeoutMs);
        return new ClientRequest(
                connection, command, requestClass, tenant, context.previousBatchMs() + timeoutMs);
    }

    private void check(ClientCommand command, RequestClass requestClass) throws ProtocolException {
        double maxUnits = limits.maxUnits();
        int gateways = limits.gatewayCount();
        if (command.units > maxUnits
                || command.fanIn > gateways
                || command.firstGateway >= gateways) {
            throw new ProtocolException(
                    "units up to " + maxUnits + ", spread up to " + gateways + ", first below it");
        }
        Idempotency idempotency = requestClass.idempotency;
        if (command.retryable != (idempotency == Idempotency.IDEMPOTENT)) {
            throw new ProtocolException("Q.ASK for what may run again, Q.DO for the rest");
        }
        if (idempotency == Idempotency.IDEMPOTENCY_KEY && !command.hasIdempotencyKey) {
            throw new ProtocolException("k, the mark against repeats");
        }
        // Servers and client would take one of two requests with the same id for the other.
        if (openRequests.containsId(command.id)) {
            throw new ProtocolException("an id of its own");
        }
    }
}
