package tinford.fleet.transport;

/**
 * Messages between the gateways of a fleet, which are identified by their numbers. A message may be
 * lost, duplicated, delayed or reordered, but it is neither altered nor attributed to another
 * sender. No call blocks, and buffers are bounded.
 */
public interface Transport extends AutoCloseable {
    /** Receives messages; called by one thread at a time, which may be the transport's own. */
    interface Receiver {
        /**
         * @param from the number of the sender
         */
        void receive(int from, byte[] message);
    }

    /** The length of the longest message. */
    int maxMessageBytes();

    /**
     * Sends a message now or never.
     *
     * @return false if it was surely not sent: it is too long, the number is unknown, the transport
     *     is closed, or a buffer is full
     */
    boolean send(int to, byte[] message);

    /** Ends sending and receiving; may be called twice. */
    @Override
    void close();
}
