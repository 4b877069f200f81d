package tinford.fleet.run;

import java.lang.System.Logger.Level;
import java.util.Arrays;
import java.util.function.Consumer;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationState;

/**
 * Appends an operator's commands to the log and reports their outcomes; one command at a time.
 * Called on the I/O thread only.
 */
final class MigrationCommands {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final double TIMEOUT_MS = 10_000;
    private static final int MAX_OPERATOR_LENGTH = 64;

    /** A command that was appended and is not yet applied. */
    private record Pending(
            String line,
            byte[] entry,
            double submittedMs,
            double deadlineMs,
            Consumer<String> callback) {}

    private final MigrationState state;
    private final MigrationPlan plan;
    private final Consumer<byte[]> log;
    private final HistoryWriter history;
    private Pending pending;

    /**
     * @param plan that {@code begin} begins, or null
     */
    MigrationCommands(
            MigrationState state, MigrationPlan plan, Consumer<byte[]> log, HistoryWriter history) {
        this.state = state;
        this.plan = plan;
        this.log = log;
        this.history = history;
    }

    /**
     * Submits a command: {@code begin}, {@code halt NAME}, {@code resume NAME}, {@code back NAME}.
     * A resume lifts the halt that this process knows now. Of the same command at two gateways, the
     * log accepts one.
     *
     * @param callback receives the outcome, once
     */
    void submit(String line, double nowMs, Consumer<String> callback) {
        String[] words = line.strip().split("\\s+", 2);
        String operator = words.length > 1 ? words[1] : "";
        MigrationEntry entry = parse(words[0], operator, nowMs);
        if (pending != null) {
            reject("refused, another order is under way here", callback);
        } else if (entry != null) {
            byte[] bytes = entry.encode();
            pending = new Pending(line.strip(), bytes, nowMs, nowMs + TIMEOUT_MS, callback);
            log.accept(bytes);
        } else if (words[0].equals("begin")) {
            reject("refused, moves.plan names no plan", callback);
        } else {
            reject(
                    "refused, expected begin, halt NAME, resume NAME or back"
                            + " NAME, a name of 1 to 64 characters",
                    callback);
        }
    }

    /** Null where the line is no command. */
    private MigrationEntry parse(String verb, String operator, double nowMs) {
        if (operator.length() > MAX_OPERATOR_LENGTH) {
            return null;
        }
        if (verb.equals("begin")) {
            return plan == null ? null : MigrationEntry.begin(operator, nowMs, plan);
        }
        if (operator.isEmpty()) {
            return null;
        }
        return switch (verb) {
            case "halt" -> MigrationEntry.halt(operator, nowMs);
            case "resume" -> MigrationEntry.resume(operator, nowMs, state.haltCount());
            case "back" -> MigrationEntry.revert(operator, nowMs);
            default -> null;
        };
    }

    private static void reject(String reason, Consumer<String> callback) {
        LOG.log(Level.WARNING, "migration command rejected file=moves.order reason=" + reason);
        callback.accept(reason);
    }

    /** To be called after each applied entry. */
    void applied(byte[] entry) {
        if (pending != null && Arrays.equals(pending.entry, entry)) {
            finish(state.lastOutcome());
        }
    }

    /** Ends a command that the log did not deliver in time. */
    void expire(double nowMs) {
        if (pending != null && nowMs >= pending.deadlineMs) {
            finish(
                    "not seen in the log within "
                            + Math.round(TIMEOUT_MS)
                            + " ms; it may still come: look before ordering again");
        }
    }

    private void finish(String outcome) {
        Pending finished = pending;
        pending = null;
        LOG.log(
                Level.INFO,
                "migration command finished file=moves.order command="
                        + finished.line
                        + " outcome="
                        + outcome);
        history.add(finished.submittedMs, "order", "line", finished.line, "outcome", outcome);
        finished.callback.accept(outcome);
    }
}
