package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * No two gateways that act are more than one stage of a move apart, and a frontend moves only when what it needs has moved at all
 * of them. One that was paused, killed or without its term counts again from the next stage that it tells.
 */
final class Stages implements Promise {
    private final Map<String, Map<Integer, History.Line>> stages = new LinkedHashMap<>(); // by move and gateway, the last told
    private final Map<String, List<String>> needs = new LinkedHashMap<>(); // by move and frontend
    private final Map<String, Map<Integer, History.Line>> moved = new LinkedHashMap<>(); // by move and frontend, who has moved it

    @Override
    public void see(History.Line l, Lives lives, Finds finds) {
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
                finds.breach("gateways " + other.gateway() + " and " + l.gateway() + " are more than one stage of " + move
                        + " apart",
                        List.of(other, l));
            }
        }
        for (var f : l.fields().path("moved")) {
            moved.computeIfAbsent(move + " " + f.asText(), k -> new TreeMap<>()).putIfAbsent(l.gateway(), l);
            for (String needed : needs.getOrDefault(move + " " + f.asText(), List.of())) {
                Map<Integer, History.Line> have = moved.getOrDefault(move + " " + needed, Map.of());
                its.values().stream().filter(o -> !have.containsKey(o.gateway())).findFirst()
                        .ifPresent(o -> finds.breach("gateway "
                        + l.gateway() + " moves " + f.asText() + ", which needs " + needed + ", not yet moved at gateway "
                                + o.gateway(),
                        o == l ? List.of(l) : List.of(o, l)));
            }
        }
    }
}
