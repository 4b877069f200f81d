package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Connections held at a server, by its own count at each change, never exceed its offer. */
final class Connections implements Promise {
    private final Map<String, Integer> offers = new HashMap<>();
    private final Map<String, List<History.Line>> open = new HashMap<>();

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        String server = l.text("server");
        switch (l.kind()) {
            case "offer" -> offers.put(server, l.number("offer"));
            case "opened" -> {
                List<History.Line> its = open.computeIfAbsent(server, k -> new ArrayList<>());
                its.add(l);
                if (l.number("held") > offers.getOrDefault(server, Integer.MAX_VALUE)) {
                    finds.breach(
                            server
                                    + " holds "
                                    + l.number("held")
                                    + " connections and offers "
                                    + offers.get(server),
                            its);
                }
            }
            case "closed" -> {
                List<History.Line> its = open.computeIfAbsent(server, k -> new ArrayList<>());
                for (int i = 0; i < its.size(); i++) {
                    if (its.get(i).number("from") == l.number("from")) {
                        its.remove(i);
                        break;
                    }
                }
            }
            default -> {}
        }
    }
}
