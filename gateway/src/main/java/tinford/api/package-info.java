/**
 * The interface between the decision module and the layers that do I/O: the events that a gateway
 * receives, the actions that it takes, and the types that both use. It depends on no other package.
 */
package tinford.api;
