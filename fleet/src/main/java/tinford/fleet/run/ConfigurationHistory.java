package tinford.fleet.run;

import java.util.function.DoubleSupplier;
import tinford.fleet.config.Configuration;

/** Writes into the history what became of configurations. On the I/O thread. */
final class ConfigurationHistory {
    private final HistoryWriter history;
    private final DoubleSupplier clock;

    /** With the wall clock of the history, in ms. */
    ConfigurationHistory(HistoryWriter history, DoubleSupplier clock) {
        this.history = history;
        this.clock = clock;
    }

    void inForce(Configuration configuration, long from, double turnMs) {
        history.add(
                clock.getAsDouble(),
                "configuration",
                "revision",
                configuration.revision(),
                "from",
                from,
                "turn_ms",
                turnMs,
                "hash",
                Long.toHexString(configuration.contentHash()));
    }

    void refused(long revision, String refusal) {
        history.add(
                clock.getAsDouble(),
                "configuration-refused",
                "revision",
                revision,
                "refusal",
                refusal);
    }
}
