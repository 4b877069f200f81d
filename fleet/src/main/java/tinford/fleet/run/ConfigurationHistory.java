package tinford.fleet.run;

import java.util.function.DoubleSupplier;
import tinford.fleet.config.Configuration;

/** Writes into the history which configurations were applied or rejected. On the I/O thread. */
final class ConfigurationHistory {
    private final HistoryWriter history;
    private final DoubleSupplier clock;

    /**
     * @param clock the history's wall clock, ms
     */
    ConfigurationHistory(HistoryWriter history, DoubleSupplier clock) {
        this.history = history;
        this.clock = clock;
    }

    /**
     * @param swapMs how long the I/O thread took to apply it
     */
    void applied(Configuration configuration, long previousRevision, double swapMs) {
        history.add(
                clock.getAsDouble(),
                "configuration",
                "revision",
                configuration.revision(),
                "from",
                previousRevision,
                "turn_ms",
                swapMs,
                "hash",
                Long.toHexString(configuration.contentHash()));
    }

    void rejected(long revision, String reason) {
        history.add(
                clock.getAsDouble(),
                "configuration-refused",
                "revision",
                revision,
                "refusal",
                reason);
    }
}
