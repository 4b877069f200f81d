package tinford.transport;

/** The stages in the life of a {@link Connection}, in their order. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    /** The sending is shut down; the peer may still send. */
    HALF_CLOSED,
    CLOSED;

    boolean isOpen() {
        return this == OPEN || this == HALF_CLOSED;
    }
}
