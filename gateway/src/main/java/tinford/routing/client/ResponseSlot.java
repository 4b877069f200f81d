package tinford.routing.client;

import tinford.routing.upstream.ResponseSource;

/** The position of a response in the order in which a connection's commands are answered. */
final class ResponseSlot {
    /** The request, or null for a response that does not depend on the decision module. */
    final ClientRequest request;

    ResponseSlot next;

    /** A response that is kept until all earlier ones are complete, or null. */
    byte[] response;

    /** The source of a streamed response, which may be waiting for earlier ones, or null. */
    ResponseSource source;

    ResponseSlot(ClientRequest request) {
        this.request = request;
    }
}
