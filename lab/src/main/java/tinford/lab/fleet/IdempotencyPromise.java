package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.api.Idempotency;

/**
 * A request that may have run runs again only where that does no harm: a uniqued one in its first
 * group and within its window, a non-replayable one nowhere.
 */
final class IdempotencyPromise implements Promise {
    private final Map<String, List<History.Line>> runs =
            new HashMap<>(); // of requests that are not replayable: what may have run

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        String request = l.text("req");
        if (l.kind().equals("dispatch")
                && !l.text("effect").equals(Idempotency.IDEMPOTENT.name())) {
            List<History.Line> its = runs.computeIfAbsent(request, k -> new ArrayList<>());
            its.stream()
                    .filter(first -> harm(first, l))
                    .findFirst()
                    .ifPresent(
                            first ->
                                    finds.breach(
                                            "req "
                                                    + request
                                                    + " ("
                                                    + l.text("frontend")
                                                    + ", "
                                                    + l.text("effect")
                                                    + ") runs again where it is not recognised",
                                            List.of(first, l)));
            its.add(l);
        } else if (l.kind().equals("ended")
                && !HistoryOutcome.parse(l.text("how")).mayHaveRun
                && runs.containsKey(request)) {
            runs.get(request).removeIf(run -> run.text("server").equals(l.text("server")));
        }
    }

    private static boolean harm(History.Line first, History.Line again) {
        return again.text("effect").equals(Idempotency.NON_IDEMPOTENT.name())
                || !first.text("group").equals(again.text("group"))
                || again.at() - first.at() > again.fields().path("window").asDouble();
    }
}
