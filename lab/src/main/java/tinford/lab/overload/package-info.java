/**
 * A simulation, in virtual time, of gateways that shed load while half of the servers are lost:
 * what the fleet's view of the load is worth over that of each gateway alone.
 */
package tinford.lab.overload;
