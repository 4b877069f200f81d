/**
 * Parsers for the input from clients, servers, the counter, discovery and operators. They perform
 * no I/O, and limit how much they buffer.
 */
package tinford.protocol;
