/**
 * Membership by gossip: which gateways of the fleet live and what each last reported, and the
 * leases that the log grants them. No I/O, no threads, no clock.
 */
package tinford.fleet.membership;
