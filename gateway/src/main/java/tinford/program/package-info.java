/**
 * The gateway as a process: reading its configuration, wiring its components, start, reload,
 * handover to a successor, and graceful shutdown.
 */
package tinford.program;
