package tinford.routing.client;

import tinford.routing.upstream.ResponseSource;

/** The position of a response in the order in which a connection's commands are answered. */
final class ResponseSlot {
    /** The heap size of a slot. */
    static final int HEAP_BYTES = 48;

    /**
     * The request, or null for a response that does not depend on the decision module, and once the
     * response is kept.
     */
    ClientRequest request;

    ResponseSlot next;

    /** A response that is kept until all earlier ones are complete, or null. */
    byte[] response;

    /** Whether the kept response is a line, which needs no server. */
    boolean isLine;

    /** How many bytes of the kept response are written. */
    int writtenBytes;

    /** Memory that is counted for this slot: its command, its kept response, a reservation. */
    long heldBytes;

    /** The id of the answered request if it must not be sent to a server again, or null. */
    Long executedId;

    /** The source of a streamed response, which may be waiting for earlier ones, or null. */
    ResponseSource source;

    ResponseSlot(ClientRequest request) {
        this.request = request;
    }
}
