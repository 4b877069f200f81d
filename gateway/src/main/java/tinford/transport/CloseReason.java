package tinford.transport;

/** Why a connection was closed. */
public enum CloseReason {
    /** The connect was refused, or the address was unreachable. */
    CONNECT_REFUSED,
    /** The connect did not complete within its timeout. */
    CONNECT_TIMEOUT,
    /** The descriptor budget allowed no further connection. */
    NO_DESCRIPTOR,
    /** The peer reset the connection, or a read or write failed. */
    IO_ERROR,
    /** The peer has shut down its sending side. */
    CLOSED_BY_PEER,
    /** The peer violated its protocol. */
    PROTOCOL_ERROR,
    /** The unread or unwritten bytes exceeded the connection's limits or the buffer budget. */
    BUFFER_LIMIT_EXCEEDED,
    /** The connection stayed open, but the response did not arrive in time. */
    RESPONSE_TIMEOUT,
    /** No response, while other connections to the same peer got responses to later requests. */
    STALLED,
    /** Closed by this process while a request was in flight. */
    CANCELLED,
    /** Closed by this process while no request was in flight. */
    CLOSED_IDLE,
    /** This process failed to handle an event of the connection. */
    INTERNAL_ERROR
}
