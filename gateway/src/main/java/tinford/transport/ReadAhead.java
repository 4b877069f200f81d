package tinford.transport;

/**
 * Reads more input of a connection than has been consumed: to detect the peer's close after unread
 * input, and to discard the input of a peer whose connection is about to be closed.
 */
final class ReadAhead {
    private static final int MAX_READS_PER_POLL = 64;
    private static final int MAX_UNREAD_BYTES = 256 << 10;
    private static final double DISCARD_INTERVAL_MS = 50;
    private final EventLoop loop;
    private final Connection connection;
    private boolean isDiscarding;

    ReadAhead(EventLoop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    /** Reads, within bounds, until no input is left or the peer's close is detected. */
    void poll() {
        boolean mayHaveMore = connection.isReadable();
        for (int i = 0; i < MAX_READS_PER_POLL && mayHaveMore && mayReadMore(); i++) {
            mayHaveMore = connection.read(MAX_UNREAD_BYTES);
            if (isDiscarding) {
                connection.discardReceived();
            }
        }
    }

    private boolean mayReadMore() {
        return !connection.isClosedOrClosing()
                && connection.buffer.unreadBytes() < MAX_UNREAD_BYTES
                && (isDiscarding || !loop.memoryBudget.isNearlyExhausted());
    }

    boolean isDiscarding() {
        return isDiscarding;
    }

    /** Discards all further input, reading it at a limited rate, until the peer closes. */
    void startDiscarding() {
        isDiscarding = true;
        connection.discardReceived();
        discardPeriodically();
    }

    private void discardPeriodically() {
        poll();
        if (!connection.isClosedOrClosing()) {
            loop.schedule(DISCARD_INTERVAL_MS, this::discardPeriodically);
        }
    }
}
