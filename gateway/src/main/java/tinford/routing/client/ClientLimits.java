package tinford.routing.client;

/**
 * What clients of a gateway may use.
 *
 * @param gatewayCount gateways that a tenant's requests may come through
 * @param maxUnits of one request
 * @param idleTimeoutMs how long a connection that has sent a command may stand idle
 * @param maxOpenRequests at once
 * @param maxHeldBytes of open requests and of responses that wait for earlier ones, together
 * @param maxConnections at once; fewer while there are fewer descriptors for clients
 * @param reclaimThreshold connections from which on idle ones are closed for new ones
 */
public record ClientLimits(
        int gatewayCount,
        double maxUnits,
        double idleTimeoutMs,
        int maxOpenRequests,
        long maxHeldBytes,
        int maxConnections,
        int reclaimThreshold) {}
