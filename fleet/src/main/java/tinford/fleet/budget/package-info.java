/**
 * Connections to servers divided among accounts and gateways by a replicated ledger. No I/O, no
 * threads, no clock.
 */
package tinford.fleet.budget;
