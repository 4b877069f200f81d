/**
 * Staged migrations of frontends between groups of servers: plans, their steps, the replicated
 * state machine, and the routing in one gateway. Uses no I/O, no threads and no clock.
 */
package tinford.fleet.migration;
