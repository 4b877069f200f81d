package tinford.api;

import java.util.List;
import java.util.Set;

/** All that can reach a gateway, one call each. */
public interface Inbox {
    /** The first call of a gateway's life, alone in carrying no input: it may set its timers. */
    void started();

    /** From now on this is what a fleet has settled; without this call a gateway is alone. */
    default void sees(View view) {}

    /** From now on customers are on these plans only; nothing has to be kept of others. */
    default void plansInForce(Set<Plan> plans) {}

    /** Another process of this gateway took its reqs so far; from now on they come here. */
    void takesOver();

    /**
     * From now on another process of this gateway takes its reqs, and this one only those on
     * connections it has.
     */
    void leaves();

    /**
     * Entries of the server list, already brought up to date; {@code whole} if absent servers are
     * gone.
     */
    void listed(List<Srv> entries, boolean whole);

    /** A call on discovery failed or the subscription broke. */
    void listRefused();

    void arrived(Req req);

    /** The answer of a streamed req has begun to flow. */
    void began(Req req, int hop);

    /**
     * A dispatch has ended.
     *
     * @param closed the req is over for the client
     * @param seenUse 1 + the customer's metered use in percent of its rate, or 0
     * @param settled true units, told with the first good answer, or 0
     * @param load the server's load report or null
     */
    void ended(
            Req req,
            int hop,
            End how,
            double took,
            boolean closed,
            int seenUse,
            double settled,
            double[] load);

    void left(Req req);

    void alarm(long token);

    default void probed(Srv srv, End how, double took, double[] load) {}

    default void heard(int peer, String text) {}

    void counted(long name, End how, double took, double total);

    /** The total of a call that was told before as one without an answer in its time. */
    void countedLate(long name, double total);
}
