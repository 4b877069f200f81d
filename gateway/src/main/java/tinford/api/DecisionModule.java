package tinford.api;

/**
 * One gateway's decisions. A front calls {@link #handleBatch} once for all that came in at one
 * moment. The feed replays that input as calls on the inbox it is given, in order of arrival; the
 * decisions go straight to the writer. Times are milliseconds, with fractions, on a clock that all
 * gateways share.
 */
public interface DecisionModule {
    void handleBatch(double nowMs, EventBatch feed, GatewayActions actions);

    /** What came in, ready to be replayed. */
    interface EventBatch {
        void replay(GatewayEvents events);
    }

    /**
     * Makes the decisions of one gateway from the settings it is handed at its start, group by
     * group.
     */
    interface Factory {
        DecisionModule create(
                long seed,
                GatewayIdentity identity,
                AttemptLimits limits,
                SlowStartRules slowStart,
                CounterSettings counter,
                Objectives objectives,
                boolean watchRequired);
    }
}
