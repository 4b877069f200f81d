/**
 * Overload handled by the fleet as one: admission by worth, a shared retry budget, and who probes
 * an unhealthy server. No I/O, no threads, no clock.
 */
package tinford.fleet.overload;
