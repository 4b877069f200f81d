package tinford.transport;

/** The stages in the life of a {@link Connection}, in their order. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    /** The sending is shut down; the peer may still send. */
    WRITES_SHUT_DOWN,
    CLOSED
}
