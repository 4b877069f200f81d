/**
 * Messages between gateways, which may be lost: the interface, UDP datagrams, and a simulated
 * network in memory and virtual time. {@code UdpTransport} has a thread of its own; the rest has
 * none.
 */
package tinford.fleet.transport;
