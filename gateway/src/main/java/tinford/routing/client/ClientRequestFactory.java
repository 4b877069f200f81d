package tinford.routing.client;

import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.routing.catalog.Catalog;

/** Creates requests from commands that comply with the catalog in force and the limits. */
final class ClientRequestFactory {
    private final ClientLimits limits;
    private final OpenRequests openRequests;
    private Catalog catalog;
    private double longestTimeoutMs;
    private double longestWindowMs;

    ClientRequestFactory(ClientLimits limits, OpenRequests openRequests, Catalog catalog) {
        this.limits = limits;
        this.openRequests = openRequests;
        useCatalog(catalog);
    }

    /** Sets the catalog for new requests. Open requests keep their request class and plan. */
    void useCatalog(Catalog next) {
        catalog = next;
        longestTimeoutMs = Math.max(longestTimeoutMs, next.longestTimeoutMs());
        longestWindowMs = Math.max(longestWindowMs, next.longestDeduplicationWindowMs());
    }

    /** The longest timeout of the request classes in all catalogs so far. */
    double longestTimeoutMs() {
        return longestTimeoutMs;
    }

    /** How long a client may send a request again after it has left. */
    double longestRetentionMs() {
        return Math.max(longestTimeoutMs, longestWindowMs);
    }

    /**
     * Creates a request.
     *
     * @param arrivedMs the earliest time at which the command may have arrived
     * @throws ProtocolException if the command does not comply with the catalog or the limits
     */
    ClientRequest create(ClientConnection connection, ClientCommand command, double arrivedMs)
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
        return new ClientRequest(connection, command, requestClass, tenant, arrivedMs + timeoutMs);
    }

    private void check(ClientCommand command, RequestClass requestClass) throws ProtocolException {
        double maxUnits = limits.maxUnits();
        int gateways = limits.gatewayCount();
        if (command.units > maxUnits
                || command.fanIn > gateways
                || command.firstGateway >= gateways) {
            throw new ProtocolException(
                    "units of at most "
                            + maxUnits
                            + ", spread of at most "
                            + gateways
                            + " and first below "
                            + gateways);
        }
        Idempotency idempotency = requestClass.idempotency;
        if (command.retryable != (idempotency == Idempotency.IDEMPOTENT)) {
            throw new ProtocolException(
                    "Q.ASK for idempotent request classes, Q.DO for all others");
        }
        if (idempotency == Idempotency.IDEMPOTENCY_KEY && !command.hasIdempotencyKey) {
            throw new ProtocolException("a non-empty idempotency key in the term k");
        }
        // Servers and clients could not tell two open requests with the same id apart.
        if (openRequests.containsId(command.id)) {
            throw new ProtocolException("an id that no open request has");
        }
    }
}
