package tinford.api;

/**
 * Identity of a gateway among the gateways that share the quotas and the servers.
 *
 * @param number number of this gateway, counted from 0
 * @param gatewayCount number of gateways
 * @param zone availability zone of this gateway; empty if unknown
 * @param tickMs shortest interval between batches of events in ms
 */
public record GatewayIdentity(int number, int gatewayCount, String zone, double tickMs) {}
