package tinford.api;

/**
 * The decision logic of one gateway: which requests are admitted, to which servers their attempts
 * are sent and which are retried. The I/O layer (the network gateway or the simulator) calls {@link
 * #handleBatch} once for all events of an iteration. The module does no I/O, reads no clock and
 * starts no thread.
 */
public interface DecisionModule {
    /**
     * Handles a batch of events and writes the resulting actions.
     *
     * @param nowMs current time in ms, with fractions, on a clock that all gateways share
     * @param batch the events, replayed in the order of their arrival
     * @param actions receives the actions, in order, before this call returns
     */
    void handleBatch(double nowMs, EventBatch batch, GatewayActions actions);

    /** The events that are handled together, at one time. */
    interface EventBatch {
        /** Makes one call on {@code events} for each event, in the order of arrival. */
        void replay(GatewayEvents events);
    }

    /** Creates the decision module of a gateway. */
    interface Factory {
        /**
         * Creates a decision module from the settings that the gateway starts with.
         *
         * @param seed seed of the module's random numbers
         * @param identity number, zone and clock tick of the gateway
         * @param limits limits on attempts
         * @param slowStart rules for servers that are warming up
         * @param counter settings of the shared counter
         * @param objectives the operators' objectives
         * @param watchRequired whether changes of the endpoint list arrive only while watched
         */
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
