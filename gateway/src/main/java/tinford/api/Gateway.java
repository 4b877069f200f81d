package tinford.api;

/**
 * One gateway's decisions. A front calls {@link #round} once for all that came in at one moment.
 * The feed replays that input as calls on the inbox it is given, in order of arrival; the decisions
 * go straight to the writer. Times are milliseconds, with fractions, on a clock that all gateways
 * share.
 */
public interface Gateway {
    void round(double now, Feed feed, Writer out);

    /** What came in, ready to be replayed. */
    interface Feed {
        void replay(Inbox in);
    }

    /**
     * Makes the decisions of one gateway from the settings it is handed at its start, group by
     * group.
     */
    interface Maker {
        Gateway make(
                long seed,
                Place place,
                Limits limits,
                Rules rules,
                CounterTerms counter,
                Goal goal,
                boolean mustAsk);
    }
}
