package tinford.lab.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.lab.fleet.History;
import tinford.lab.fleet.IncarnationTracker;
import tinford.lab.fleet.Promise;

/**
 * Whoever holds a revision holds the same content: that of the acknowledged change sets up to it. A
 * mix of two revisions has a content of its own.
 */
final class OneContent implements Promise {
    private final Map<String, Map<Long, History.Line>> expected = new HashMap<>();

    @Override
    public void see(History.Line line, IncarnationTracker lives, Finds finds) {
        for (String field : List.of(Events.HASH, Events.DIGEST)) {
            if (line.fields().has(field)) {
                compare(field, line, finds);
            }
        }
    }

    private void compare(String field, History.Line line, Finds finds) {
        long revision = line.fields().path(Events.REVISION).asLong();
        Map<Long, History.Line> known = expected.computeIfAbsent(field, k -> new HashMap<>());
        History.Line other = known.get(revision);
        if (other != null && !other.text(field).equals(line.text(field))) {
            finds.breach(
                    who(line)
                            + " has another content at revision "
                            + revision
                            + " than "
                            + who(other),
                    List.of(other, line));
        }
        if (other == null || line.kind().equals(Events.REFERENCE)) {
            known.put(revision, line);
        }
    }

    private static String who(History.Line line) {
        return line.kind().equals(Events.REFERENCE)
                ? "what was acknowledged"
                : "follower " + line.text(Events.FOLLOWER);
    }
}
