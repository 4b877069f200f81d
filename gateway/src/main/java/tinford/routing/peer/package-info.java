/** Gossip between the gateways, as datagrams. */
package tinford.routing.peer;
