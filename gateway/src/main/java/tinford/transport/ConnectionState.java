package tinford.transport;

/** The states of a {@link Connection}, in the order in which it passes through them. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    /** The sending side is shut down; the peer may still send. */
    HALF_CLOSED,
    CLOSED;

    boolean isOpen() {
        return this == OPEN || this == HALF_CLOSED;
    }
}
