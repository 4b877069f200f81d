package tinford.lab.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tries at a server that has been ill for a while, of all gateways together, a second. */
final class ProbeRatePromise implements Promise {
    private static final double SPAN = 1000;
    private static final double FOUND = 2000; // ms by which a fleet has found it ill
    private final double most;
    private final Map<String, Double> unhealthy = new HashMap<>();
    private final Map<String, ArrayDeque<History.Line>> recent = new HashMap<>();

    ProbeRatePromise(double most) {
        this.most = most;
    }

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        String server = l.text("server");
        switch (l.kind()) {
            case "ill" -> unhealthy.put(server, l.at());
            case "well" -> {
                unhealthy.remove(server);
                recent.remove(server + " dispatch");
                recent.remove(server + " try");
            }
            // a dead server sees nothing: gateways tell what they tried there
            case "dispatch", "try" -> {
                if (l.at() - unhealthy.getOrDefault(server, Double.POSITIVE_INFINITY) < FOUND
                        || !unhealthy.containsKey(server)) {
                    return;
                }
                ArrayDeque<History.Line> its =
                        recent.computeIfAbsent(server + " " + l.kind(), k -> new ArrayDeque<>());
                its.add(l);
                while (l.at() - its.peek().at() > SPAN) {
                    its.poll();
                }
                if (its.size() > most) {
                    finds.breach(
                            its.size()
                                    + " tries within a second at "
                                    + server
                                    + ", ill for "
                                    + Math.round(l.at() - unhealthy.get(server))
                                    + " ms",
                            List.copyOf(its));
                }
            }
            default -> {}
        }
    }
}
