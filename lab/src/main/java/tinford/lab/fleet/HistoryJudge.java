package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges histories against the promises of a fleet. It knows nothing of the program but what the
 * lines say.
 */
public final class HistoryJudge {
    private static final int MAX_BROKEN_KEPT = 20; // of each promise
    private static final int MAX_LINES_PRINTED = 10; // lines of a story
    private final Map<String, Promise> promises;
    private final IncarnationTracker lives = new IncarnationTracker();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Integer> counts = new HashMap<>();

    /** A promise that was not kept, with the lines that tell it. */
    public record Breach(String promise, String what, List<History.Line> lines) {
        /**
         * @param began what times count from
         */
        public String story(double began) {
            StringBuilder s = new StringBuilder(promise + ": " + what);
            List<History.Line> last =
                    lines.subList(Math.max(0, lines.size() - MAX_LINES_PRINTED), lines.size());
            if (last.size() < lines.size()) {
                s.append("\n    ... ").append(lines.size() - last.size()).append(" lines before");
            }
            for (History.Line l : last) {
                s.append(String.format(Locale.ROOT, "%n    %10.1f ms  ", l.at() - began))
                        .append(l.kind());
                l.fields()
                        .fields()
                        .forEachRemaining(
                                f -> {
                                    if (!List.of("at", "wall", "kind", "life")
                                            .contains(f.getKey())) {
                                        s.append(' ')
                                                .append(f.getKey())
                                                .append('=')
                                                .append(
                                                        f.getValue()
                                                                .asText(f.getValue().toString()));
                                    }
                                });
            }
            return s.toString();
        }
    }

    /**
     * @param promises by name
     */
    public HistoryJudge(Map<String, Promise> promises) {
        this.promises = promises;
    }

    /** All promises that the script makes. */
    public static HistoryJudge of(FleetScript script) {
        Map<String, Promise> all = new java.util.LinkedHashMap<>();
        all.put("connections", new Connections());
        all.put("answers", new FinalAnswerPromise());
        all.put("runs", new IdempotencyPromise());
        all.put("stages", new StageOrderPromise());
        if (script.further() > 0) {
            all.put("further", new RetryBudgetPromise(script.further()));
        }
        if (script.tries() > 0) {
            all.put("tries", new ProbeRatePromise(script.tries()));
        }
        return new HistoryJudge(all);
    }

    /** Lines come in the order of time. */
    public void see(History.Line l) {
        lives.see(l);
        promises.forEach(
                (name, p) ->
                        p.see(
                                l,
                                lives,
                                (what, story) -> {
                                    if (counts.merge(name, 1, Integer::sum) <= MAX_BROKEN_KEPT) {
                                        breaches.add(new Breach(name, what, List.copyOf(story)));
                                    }
                                }));
    }

    /** The first ones of each promise. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** Breaches in all, by promise. */
    public Map<String, Integer> counts() {
        return counts;
    }
}
