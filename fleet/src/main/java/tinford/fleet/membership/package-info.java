/**
 * Fleet membership: the gossip protocol, which tracks the gateways that are alive and the latest
 * record of each, and the table of leases granted through the replicated log. Nothing in this
 * package does I/O, starts a thread or reads a clock; time and randomness are passed in.
 */
package tinford.fleet.membership;
