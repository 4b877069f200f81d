package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * No two gateways that act are more than one stage of a move apart, and a frontend moves only when
 * what it needs has moved at all of them. One that was paused, killed or without its term counts
 * again from the next stage that it tells.
 */
final class StageOrderPromise implements Promise {
    private final Map<String, Map<Integer, History.Line>> stages =
            new LinkedHashMap<>(); // by move and gateway, the last told
    private final Map<String, List<String>> needs = new LinkedHashMap<>(); // by move and frontend

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        stages.values().forEach(m -> m.keySet().removeIf(g -> !lives.acts(g)));
        String move = l.text("move");
        if (l.kind().equals("plan")) {
            List<String> all = new ArrayList<>();
            l.fields().path("needs").forEach(n -> all.add(n.asText()));
            needs.put(move + " " + l.text("frontend"), all);
        }
        if (!l.kind().equals("stage") || !lives.acts(l.gateway())) {
            return;
        }
        Map<Integer, History.Line> its = stages.computeIfAbsent(move, k -> new TreeMap<>());
        its.put(l.gateway(), l);
        for (History.Line other : its.values()) {
            if (Math.abs(other.number("stage") - l.number("stage")) > 1) {
                finds.breach(
                        "gateways "
                                + other.gateway()
                                + " and "
                                + l.gateway()
                                + " are more than one stage of "
                                + move
                                + " apart",
                        List.of(other, l));
            }
        }
        for (History.Line other : its.values()) {
            order(move, l, other, finds);
            if (other != l) {
                order(move, other, l, finds);
            }
        }
    }

    /** What has begun at one gateway needs what must have moved at the other. */
    private void order(String move, History.Line begun, History.Line other, Finds finds) {
        Set<String> moved = texts(other, "moved");
        Set<String> all = texts(begun, "moved");
        all.addAll(texts(begun, "begun"));
        for (String f : all) {
            needs.getOrDefault(move + " " + f, List.of()).stream()
                    .filter(n -> !moved.contains(n))
                    .findFirst()
                    .ifPresent(
                            n ->
                                    finds.breach(
                                            "gateway "
                                                    + begun.gateway()
                                                    + " moves "
                                                    + f
                                                    + ", which needs "
                                                    + n
                                                    + ", not yet moved at gateway "
                                                    + other.gateway(),
                                            other == begun
                                                    ? List.of(begun)
                                                    : begun.at() < other.at()
                                                            ? List.of(begun, other)
                                                            : List.of(other, begun)));
        }
    }

    private static Set<String> texts(History.Line l, String field) {
        Set<String> all = new LinkedHashSet<>();
        l.fields().path(field).forEach(f -> all.add(f.asText()));
        return all;
    }
}
