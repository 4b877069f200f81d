package tinford.api;

/** Where decisions are written; each call is one message of the front. */
public interface Writer {
    /** Dispatches of a req are numbered 0, 1, 2 ... in the order of these calls; {@code cap} 0 is no own time-out. */
    void dispatch(Req req, Srv srv, double cap);

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
