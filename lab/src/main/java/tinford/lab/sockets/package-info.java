/**
 * Scenarios on loopback sockets: real gateways among stand-ins of servers, discovery, counter and
 * clients.
 */
package tinford.lab.sockets;
