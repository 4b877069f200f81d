/**
 * Connections, listeners and datagrams on the one I/O thread, the budgets that bound them, and the
 * lock by which two processes of a gateway agree on which of them accepts clients.
 */
package tinford.transport;
