/**
 * Control servers and their followers at the size of the full fleet: real processes on loopback,
 * links that can be cut between regions, drawn changes, faults, and a judge that reads the
 * histories. The command is {@code lab control}; {@code docs/lab.md} tells how to use it.
 */
package tinford.lab.control;
