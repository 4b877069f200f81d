/**
 * TCP connections, listeners and UDP sockets on the single I/O thread, the budgets that limit them,
 * and the handover lock by which two processes of a gateway agree on which one accepts clients.
 */
package tinford.transport;
