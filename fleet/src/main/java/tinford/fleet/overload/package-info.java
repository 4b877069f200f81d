/**
 * Overload control by the fleet as one: an admission threshold by priority weight, a shared retry
 * budget, and owners of the probes of unhealthy servers. No I/O, no threads, no clock.
 */
package tinford.fleet.overload;
