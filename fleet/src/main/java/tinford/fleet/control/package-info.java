/**
 * Control servers: they keep the fleet's configuration in a replicated log, take proposals that
 * change it, and serve it over HTTP to the gateways that follow it.
 *
 * <p>A voter takes part in the log's quorum; a replica follows a voter and serves what it holds. A
 * gateway is never a voter. Protocol, operator file, commands and exit codes: {@code
 * docs/configuration.md}.
 */
package tinford.fleet.control;
