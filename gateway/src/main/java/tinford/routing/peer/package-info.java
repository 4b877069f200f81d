/** Gossip between gateways over UDP. */
package tinford.routing.peer;
