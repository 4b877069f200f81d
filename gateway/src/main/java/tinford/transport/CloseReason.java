package tinford.transport;

/** Why a connection was closed. */
public enum CloseReason {
    /** The connect was refused, or the address could not be reached. */
    CONNECT_REFUSED,
    /** The connect was not completed within its timeout. */
    CONNECT_TIMEOUT,
    /** The descriptor budget allowed no connection more. */
    NO_DESCRIPTOR,
    /** Reset by the peer, or a read or write failed. */
    IO_ERROR,
    /** The peer has shut down its sending. */
    CLOSED_BY_PEER,
    /** The peer sent what its protocol does not allow. */
    PROTOCOL_ERROR,
    /** More bytes are unread or unwritten than the connection's limits allow. */
    BUFFER_LIMIT_EXCEEDED,
    /** The connection stayed open, but the answer did not come in time. */
    RESPONSE_TIMEOUT,
    /** No answer, while parallel connections to the same peer had answers to later requests. */
    STALLED,
    /** Given up by this process while a request was in flight on it. */
    CANCELLED,
    /** Closed by this process while no request was in flight on it. */
    CLOSED_IDLE,
    /** This process failed while it handled an event of the connection. */
    INTERNAL_ERROR
}
