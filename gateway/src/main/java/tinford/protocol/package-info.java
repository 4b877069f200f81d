/**
 * Parsers for what clients, servers, the counter, discovery and operators send. They do no I/O and
 * bound what they buffer.
 */
package tinford.protocol;
