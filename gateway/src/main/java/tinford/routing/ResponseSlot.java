package tinford.routing;

/**
 * A place in a client's order of answers; the answer is kept here while those before it are
 * missing.
 */
final class ResponseSlot {
    ResponseSlot next;
    byte[] answer;

    /** Null for what needs no decision. */
    ClientRequest exchange;

    /** Where its answer comes from while that flows, or waits to. */
    ServerConnection source;
}
