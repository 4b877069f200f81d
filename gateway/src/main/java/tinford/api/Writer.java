package tinford.api;

/** Where decisions are written; each call is one message of the front. */
public interface Writer {
    /**
     * Dispatches of a req are numbered 0, 1, 2 ... in the order of these calls.
     *
     * @param cap its own time-out, or 0
     * @param within its last byte leaves by then, or it is withdrawn as void
     */
    void dispatch(Req req, Srv srv, double cap, double within);

    void cancel(Req req, int hop);

    void deny(Req req, double retryAfter);

    void abort(Req req);

    void alarm(long token, double wait);

    void probe(Srv srv);

    void closeIdle(Srv srv);

    /** To one peer, or to all of them when {@code peer} is below 0. */
    void tell(int peer, String text);

    void add(long name, double amount, double keep);

    void watch(boolean on);

    void fetchList();

    void log(String text);
}
