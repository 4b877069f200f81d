package tinford.lab.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which gateways live and act, by what was done to them and by what they say of their terms. */
public final class IncarnationTracker {
    private final Set<Integer> up = new HashSet<>();
    private final Set<Integer> without = new HashSet<>(); // a term
    private final Map<Integer, Double> ends = new HashMap<>(); // of terms, where it is told
    private double now;
    private final Map<Integer, Double> since = new HashMap<>(); // undisturbed

    void see(History.Line l) {
        now = l.at();
        int who = l.number("who");
        switch (l.kind()) {
            case "ready", "continued" -> {
                up.add(who);
                since.put(who, l.at());
            }
            case "killed", "paused", "ended by plan" -> {
                up.remove(who);
                since.put(who, Double.POSITIVE_INFINITY);
            }
            case "term" -> {
                if (l.is("holds")) {
                    without.remove(l.gateway());
                    if (l.fields().has("for")) {
                        ends.put(l.gateway(), l.at() + l.fields().path("for").asDouble());
                    }
                } else {
                    without.add(l.gateway());
                }
            }
            default -> {}
        }
    }

    /** Acts on what was granted to it. */
    boolean acts(int gateway) {
        return up.contains(gateway)
                && !without.contains(gateway)
                && now < ends.getOrDefault(gateway, Double.POSITIVE_INFINITY);
    }

    /** It has been up, and running, all the time from then on. */
    boolean undisturbed(int gateway, double from) {
        return since.getOrDefault(gateway, Double.POSITIVE_INFINITY) <= from;
    }
}
