package tinford.api;

/** Where decisions are written; each call is one message of the front. */
public interface GatewayActions {
    /**
     * Dispatches of a req are numbered 0, 1, 2 ... in the order of these calls.
     *
     * @param timeoutMs its own time-out, or 0
     * @param sendWithinMs its last byte leaves by then, or it is withdrawn as void
     */
    void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs);

    void cancelAttempt(Request request, int attempt);

    void reject(Request request, double retryAfterMs);

    void fail(Request request);

    void setTimer(long token, double delayMs);

    void sendHealthCheck(Server server);

    void closeIdleConnections(Server server);

    /** To one peer, or to all of them when {@code peer} is below 0. */
    void sendGossip(int peer, String text);

    void incrementCounter(long counterKey, double amount, double ttlMs);

    void watchEndpoints(boolean enabled);

    void fetchEndpoints();

    void log(String text);
}
