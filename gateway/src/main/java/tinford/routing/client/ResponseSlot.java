package tinford.routing.client;

import tinford.routing.upstream.ResponseSource;

/** The place of one response in the order in which a connection's commands are answered. */
final class ResponseSlot {
    /** Null for a response that needs no decision. */
    final ClientRequest request;

    ResponseSlot next;

    /** The response, once known, while earlier ones are missing. */
    byte[] response;

    /** What streams the response, or waits to, or null. */
    ResponseSource source;

    ResponseSlot(ClientRequest request) {
        this.request = request;
    }
}
