package tinford.lab.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tinford.lab.fleet.History;
import tinford.lab.fleet.IncarnationTracker;
import tinford.lab.fleet.Promise;

/**
 * No acknowledged change is lost: it keeps the one revision it was acknowledged with, no other
 * change has that revision, and once all has settled every living follower and every server holds
 * the last one. Followers that said they can't apply it are left out until they apply again.
 */
final class AcknowledgedKept implements Promise {
    private final Map<String, History.Line> byId = new HashMap<>();
    private final TreeMap<Long, History.Line> byRevision = new TreeMap<>();
    private final Map<String, History.Line> heldBy = new TreeMap<>();
    private final Set<String> living = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();

    @Override
    public void see(History.Line line, IncarnationTracker lives, Finds finds) {
        String follower = line.text(Events.FOLLOWER);
        switch (line.kind()) {
            case Events.ACCEPTED -> accepted(line, finds);
            case Events.STARTED -> {
                living.add(follower);
                heldBy.remove(follower);
            }
            case Events.STOPPED -> living.remove(follower);
            case Events.APPLIED -> {
                heldBy.put(follower, line);
                refusing.remove(follower);
            }
            case Events.NOT_APPLIED -> refusing.add(follower);
            case Events.SERVER_HOLDS -> held("server " + line.text(Events.SERVER), line, finds);
            case Events.SETTLED -> settled(line, finds);
            default -> {}
        }
    }

    private void accepted(History.Line line, Finds finds) {
        String id = line.text(Events.ID);
        long revision = revision(line);
        History.Line same = byId.putIfAbsent(id, line);
        if (same != null && revision(same) != revision) {
            finds.breach(
                    "change set " + id + " was acknowledged with two revisions",
                    List.of(same, line));
        }
        History.Line other = byRevision.putIfAbsent(revision, line);
        if (other != null && !other.text(Events.ID).equals(id)) {
            finds.breach(
                    "revision " + revision + " was acknowledged for two change sets",
                    List.of(other, line));
        }
    }

    private void settled(History.Line settled, Finds finds) {
        for (String follower : living) {
            if (refusing.contains(follower)) {
                continue;
            }
            History.Line held = heldBy.get(follower);
            if (held != null) {
                held("follower " + follower, held, finds);
            } else if (!byRevision.isEmpty()) {
                finds.breach("follower " + follower + " holds nothing", List.of(settled));
            }
        }
    }

    private void held(String who, History.Line holds, Finds finds) {
        if (byRevision.isEmpty()) {
            return;
        }
        long last = byRevision.lastKey();
        if (revision(holds) < last) {
            finds.breach(
                    who + " lacks acknowledged revision " + last,
                    List.of(byRevision.get(last), holds));
        } else if (revision(holds) > last) {
            finds.breach(
                    who + " holds revision " + revision(holds) + " that nobody entered",
                    List.of(byRevision.get(last), holds));
        }
    }

    private static long revision(History.Line line) {
        return line.fields().path(Events.REVISION).asLong();
    }
}
