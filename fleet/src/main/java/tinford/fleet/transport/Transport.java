package tinford.fleet.transport;

/**
 * Unreliable messages between the gateways of a fleet, which are identified by their numbers. A
 * message may be lost, duplicated, delayed or reordered, but is neither altered nor attributed to
 * another sender. No call blocks, and buffers are bounded.
 */
public interface Transport extends AutoCloseable {
    /** Receives messages; called by one thread at a time, which may belong to the transport. */
    interface Receiver {
        /**
         * Handles a message.
         *
         * @param from the number of the sender
         */
        void receive(int from, byte[] message);
    }

    /** The length of the longest message that can be sent. */
    int maxMessageBytes();

    /**
     * Sends a message without blocking. It is not retried if it can't be sent at once.
     *
     * @param to the number of the recipient
     * @return false if the message was certainly not sent: it is too long, the number is unknown,
     *     the transport is closed, or a buffer is full
     */
    boolean send(int to, byte[] message);

    /** Stops sending and receiving. Closing twice has no effect. */
    @Override
    void close();
}
