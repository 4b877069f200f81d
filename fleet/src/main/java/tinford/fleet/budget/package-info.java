/**
 * Budgets of connections to servers, which a replicated ledger grants to gateways and accounts.
 * Uses no I/O, no threads and no clock.
 */
package tinford.fleet.budget;
