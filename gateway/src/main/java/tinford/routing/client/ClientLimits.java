package tinford.routing.client;

/**
 * Limits for the clients of a gateway.
 *
 * @param gatewayCount number of gateways that a tenant's requests may arrive at
 * @param maxUnits largest number of units of a request
 * @param idleTimeoutMs how long a connection may be idle after a command
 * @param maxOpenRequests largest number of open requests
 * @param maxConnections limit on open connections; lower while fewer descriptors are available for
 *     clients
 * @param reclaimThreshold number of connections from which an idle connection is closed for each
 *     new one
 */
public record ClientLimits(
        int gatewayCount,
        double maxUnits,
        double idleTimeoutMs,
        int maxOpenRequests,
        int maxConnections,
        int reclaimThreshold) {}
