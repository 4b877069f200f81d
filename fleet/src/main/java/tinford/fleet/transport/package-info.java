/**
 * Messages between gateways, which may be lost: the interface, datagrams, and a network in memory
 * and virtual time.
 */
package tinford.fleet.transport;
