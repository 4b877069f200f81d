/**
 * Staged moves of frontends between groups of servers: plans, their steps, the replicated state
 * machine, and the routing at one gateway. No I/O, no threads, no clock.
 */
package tinford.fleet.migration;
