/**
 * Control servers: they store the fleet's configuration in a replicated log, accept proposals that
 * change it, and serve it over HTTP to the gateways that follow it.
 *
 * <p>A voter is a member of the log's quorum; a replica follows a voter and serves the same
 * configuration. A gateway is never a voter. Protocol, operator file, commands and exit codes:
 * {@code docs/configuration.md}.
 */
package tinford.fleet.control;
