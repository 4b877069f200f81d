package tinford.routing.discovery;

import java.util.ArrayList;
import java.util.List;

/** The steps that discovery performs on a connection, with their times after the request. */
final class Script {
    /** Sends nothing, and keeps the connection open. */
    static final Script SILENT = new Script(List.of());

    enum Action {
        SEND,
        CLOSE,
        RESET
    }

    /**
     * @param text the text to send; empty for other actions
     */
    record Step(int atMs, Action action, String text) {}

    private final List<Step> steps;

    private Script(List<Step> steps) {
        this.steps = List.copyOf(steps);
    }

    static Script at(int atMs, String text) {
        return SILENT.then(atMs, text);
    }

    static Script closeAt(int atMs) {
        return SILENT.thenClose(atMs);
    }

    static Script resetAt(int atMs) {
        return SILENT.thenReset(atMs);
    }

    /** Sends texts at a fixed interval, starting at once. */
    static Script every(int intervalMs, List<String> texts) {
        Script script = SILENT;
        for (int i = 0; i < texts.size(); i++) {
            script = script.then(i * intervalMs, texts.get(i));
        }
        return script;
    }

    Script then(int atMs, String text) {
        return plus(new Step(atMs, Action.SEND, text));
    }

    Script thenClose(int atMs) {
        return plus(new Step(atMs, Action.CLOSE, ""));
    }

    Script thenReset(int atMs) {
        return plus(new Step(atMs, Action.RESET, ""));
    }

    Script followedBy(Script next) {
        List<Step> all = new ArrayList<>(steps);
        all.addAll(next.steps);
        return new Script(all);
    }

    /** Returns the same steps, with a delay added to each time. */
    Script delayedBy(int ms) {
        return new Script(
                steps.stream().map(s -> new Step(s.atMs + ms, s.action, s.text)).toList());
    }

    private Script plus(Step step) {
        return followedBy(new Script(List.of(step)));
    }

    List<Step> steps() {
        return steps;
    }
}
