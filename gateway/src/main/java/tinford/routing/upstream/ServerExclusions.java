package tinford.routing.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which servers the operators have excluded, from records that both processes of a gateway read
 * alike: one line a call, of which the later one counts. Does no I/O.
 */
public final class ServerExclusions {
    /** Beyond it the exclusions that were lifted longest ago are forgotten. */
    private static final int MAX_EXCLUSIONS = 4096;

    /** By then discovery has long reported a start from before the exclusion was lifted. */
    private static final double RETENTION_MS = 600_000;

    private static final String EXCLUDE = "suspend";
    private static final String READMIT = "resume";
    private final Map<String, Exclusion> exclusions = new LinkedHashMap<>();

    private static final class Exclusion {
        final double sinceMs;
        double untilMs = Double.POSITIVE_INFINITY;

        Exclusion(double sinceMs) {
            this.sinceMs = sinceMs;
        }

        boolean isInForce() {
            return untilMs == Double.POSITIVE_INFINITY;
        }
    }

    /** The record of a call; ids on the endpoint list contain no blank. */
    public static String toRecord(String serverId, boolean exclude, double nowMs) {
        return (exclude ? EXCLUDE : READMIT) + " " + (long) nowMs + " " + serverId;
    }

    /**
     * Applies a record. One that is cut short, as by a killed process, is ignored.
     *
     * @return the id of the server that it names, or null if it was ignored
     */
    String apply(String serverRecord) {
        String[] words = serverRecord.split(" ", 3);
        if (words.length != 3 || !words[1].matches("\\d{1,15}")) {
            return null;
        }
        double atMs = Double.parseDouble(words[1]);
        String serverId = words[2];
        switch (words[0]) {
            case EXCLUDE -> exclude(serverId, atMs);
            case READMIT -> readmit(serverId, atMs);
            default -> {
                return null;
            }
        }
        forgetLifted(atMs);
        return serverId;
    }

    /** A repeated call changes nothing. */
    private void exclude(String serverId, double atMs) {
        if (!isExcluded(serverId)) {
            exclusions.put(serverId, new Exclusion(atMs));
        }
    }

    private void readmit(String serverId, double atMs) {
        if (isExcluded(serverId)) {
            exclusions.get(serverId).untilMs = atMs;
        }
    }

    private void forgetLifted(double nowMs) {
        exclusions
                .values()
                .removeIf(
                        e ->
                                !e.isInForce()
                                        && (exclusions.size() > MAX_EXCLUSIONS
                                                || nowMs - e.untilMs > RETENTION_MS));
    }

    boolean isExcluded(String serverId) {
        Exclusion exclusion = exclusions.get(serverId);
        return exclusion != null && exclusion.isInForce();
    }

    /** Whether a server is or was excluded, as far as that is remembered. */
    boolean isKnown(String serverId) {
        return exclusions.containsKey(serverId);
    }

    /**
     * When a server started, as far as that is safe to say. It may have been restarted while it was
     * excluded, which discovery reports late: until then it counts as started when it was
     * readmitted, so that a cold server is not taken for the warm one that it was.
     */
    double startedAtMs(String serverId, double listedStartedAtMs) {
        Exclusion exclusion = exclusions.get(serverId);
        if (exclusion == null || exclusion.isInForce() || listedStartedAtMs > exclusion.sinceMs) {
            return listedStartedAtMs;
        }
        return exclusion.untilMs;
    }
}
