package tinford.lab.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Which follower lives and holds which revision now, read from the histories as they grow. */
final class HeldRevisions {
    private static final long POLL_INTERVAL_MS = 50;
    private final List<HistoryTail> tails = new ArrayList<>();
    private final Map<String, Long> held = new HashMap<>();
    private final Set<String> living = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();

    synchronized void follow(Path history) {
        tails.add(new HistoryTail(history));
    }

    /**
     * Waits until so many followers live and each of them holds the revision, but for those that
     * refuse it.
     *
     * @return whether that came true in time
     */
    boolean await(int followers, long revision, double timeoutSeconds)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while (!holds(followers, revision)) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }

    private synchronized boolean holds(int followers, long revision) throws IOException {
        for (HistoryTail tail : tails) {
            tail.read(this::see);
        }
        return living.size() >= followers && lagging(revision).isEmpty();
    }

    /** Living followers that hold an earlier revision, or none. */
    synchronized List<String> lagging(long revision) {
        return living.stream()
                .filter(follower -> held.getOrDefault(follower, -1L) < revision)
                .filter(follower -> !refusing.contains(follower))
                .sorted()
                .toList();
    }

    private void see(JsonNode line) {
        String follower = line.path(Events.FOLLOWER).asText();
        switch (line.path("kind").asText()) {
            case Events.STARTED -> {
                living.add(follower);
                held.remove(follower);
            }
            case Events.STOPPED -> living.remove(follower);
            case Events.APPLIED -> {
                held.put(follower, line.path(Events.REVISION).asLong());
                refusing.remove(follower);
            }
            case Events.NOT_APPLIED -> refusing.add(follower);
            default -> {}
        }
    }
}
