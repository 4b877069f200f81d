package tinford.api;

/** Receives the actions of a decision module; the I/O layer carries them out in order. */
public interface GatewayActions {
    /**
     * Counts heap memory that the decision module is about to hold for longer than a request.
     *
     * @return false if there is none, and nothing was counted
     */
    default boolean reserveMemory(long bytes) {
        return true;
    }

    /** Returns memory counted by {@link #reserveMemory}. */
    default void releaseMemory(long bytes) {}

    /**
     * Sends an attempt of a request. The attempts of a request are numbered 0, 1, 2 ... in the
     * order of these calls.
     *
     * @param timeoutMs timeout of this attempt in ms, or 0 if only the request's deadline applies
     * @param sendWithinMs time in ms within which the attempt's last byte has to be sent; after it
     *     the attempt ends as {@link AttemptOutcome#NOT_SENT}
     */
    void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs);

    /**
     * Cancels an attempt in flight.
     *
     * @param attempt number of the attempt
     */
    void cancelAttempt(Request request, int attempt);

    /**
     * Tells the client that the request is rejected.
     *
     * @param retryAfterMs time in ms after which the client may send it again
     */
    void reject(Request request, double retryAfterMs);

    /** Tells the client that the request has failed. */
    void fail(Request request);

    /**
     * Sets a timer that is reported to {@link GatewayEvents#timerFired} when it fires.
     *
     * @param token identifies the timer; setting it again reschedules it
     * @param delayMs time in ms until it fires
     */
    void setTimer(long token, double delayMs);

    /** Sends a health check to a server. */
    void sendHealthCheck(Server server);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(Server server);

    /**
     * Sends a gossip message.
     *
     * @param peer number of the receiving gateway, or a negative number for all peers
     */
    void sendGossip(int peer, String text);

    /**
     * Adds to a total on the shared counter and reads the new total.
     *
     * @param counterKey key of the total
     * @param amount units to add; 0 only reads the total and a negative amount returns units
     * @param ttlMs time in ms for which the counter has to keep the total
     */
    void incrementCounter(long counterKey, double amount, double ttlMs);

    /** Subscribes to changes of the endpoint list, or ends the subscription. */
    void watchEndpoints(boolean enabled);

    /** Fetches the full endpoint list once. */
    void fetchEndpoints();

    /** Writes a line to the log. */
    void log(String text);
}
