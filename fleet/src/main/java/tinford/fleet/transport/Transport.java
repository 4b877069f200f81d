package tinford.fleet.transport;

/**
 * Messages between the gateways of a fleet, by their numbers. Any message may be lost, doubled,
 * late or out of order; none is changed, and none is told as from another than its sender. No call
 * waits, and nothing is kept without bound.
 */
public interface Transport extends AutoCloseable {
    /** Takes a message; called by one thread at a time, which may be the transport's own. */
    interface Receiver {
        void receive(int from, byte[] message);
    }

    /** The longest message, in bytes. */
    int maxMessageBytes();

    /**
     * Sends now or never.
     *
     * @return false when it surely did not leave: too long, to nobody, closed, or no room
     */
    boolean send(int to, byte[] message);

    /** From now on nothing is sent or taken; may be called twice. */
    @Override
    void close();
}
