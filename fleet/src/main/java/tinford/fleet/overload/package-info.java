/**
 * Fleet-wide overload control: an admission threshold by priority weight, a shared retry budget,
 * and probe owners for unhealthy servers. Uses no I/O, no threads and no clock.
 */
package tinford.fleet.overload;
