/**
 * Unreliable messages between the gateways of a fleet: the transport interface, its implementation
 * over UDP, and a simulated network in memory and virtual time. Only {@code UdpTransport} starts a
 * thread.
 */
package tinford.fleet.transport;
