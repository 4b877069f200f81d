package tinford.lab.fleet;

import java.util.Map;
import tinford.api.AttemptOutcome;

/**
 * Outcomes of attempts as histories name them: names that are older than the program's own, so that
 * kept files stay readable.
 */
public final class HistoryOutcome {
    private static final Map<AttemptOutcome, String> NAMES =
            Map.of(
                    AttemptOutcome.SUCCESS, "GOOD",
                    AttemptOutcome.OVERLOADED, "FULL",
                    AttemptOutcome.CONNECTION_LOST, "BROKEN",
                    AttemptOutcome.NOT_SENT, "VOID");

    private HistoryOutcome() {}

    /** The name of an outcome in a history. */
    public static String nameOf(AttemptOutcome outcome) {
        return NAMES.getOrDefault(outcome, outcome.name());
    }

    /**
     * The outcome that a history names.
     *
     * @throws IllegalArgumentException where it names none
     */
    public static AttemptOutcome parse(String name) {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            if (nameOf(outcome).equals(name)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("expected an outcome of an attempt, not " + name);
    }
}
