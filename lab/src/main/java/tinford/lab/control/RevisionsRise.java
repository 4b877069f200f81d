package tinford.lab.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.lab.fleet.History;
import tinford.lab.fleet.IncarnationTracker;
import tinford.lab.fleet.Promise;

/**
 * No follower goes back to an earlier revision, not even through a restart, unless its disk was
 * lost.
 */
final class RevisionsRise implements Promise {
    private final Map<String, History.Line> held = new HashMap<>();

    @Override
    public void see(History.Line line, IncarnationTracker lives, Finds finds) {
        String follower = line.text(Events.FOLLOWER);
        if (line.kind().equals(Events.STARTED) && line.text(Events.DISK).equals(Events.DISK_LOST)) {
            held.remove(follower);
        } else if (line.kind().equals(Events.APPLIED)) {
            History.Line before = held.put(follower, line);
            if (before != null && revision(line) < revision(before)) {
                finds.breach(
                        "follower "
                                + follower
                                + " goes back from revision "
                                + revision(before)
                                + " to "
                                + revision(line),
                        List.of(before, line));
            }
        }
    }

    private static long revision(History.Line line) {
        return line.fields().path(Events.REVISION).asLong();
    }
}
