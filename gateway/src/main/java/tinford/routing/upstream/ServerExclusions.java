package tinford.routing.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The servers that operators have excluded. The state is built from a log of records, one line for
 * each call of the admin API, which both processes of a gateway read during a handover. The last
 * record for a server takes precedence. This class does no I/O.
 */
public final class ServerExclusions {
    /**
     * If there are more exclusions than this, lifted ones are dropped, starting with the server
     * that was excluded first.
     */
    private static final int MAX_EXCLUSIONS = 4096;

    /**
     * How long a lifted exclusion is retained. Discovery has by then reported a restart that
     * happened while the server was excluded.
     */
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

    /** Formats the record of a call. Ids on the endpoint list contain no spaces. */
    public static String toRecord(String serverId, boolean exclude, double nowMs) {
        return (exclude ? EXCLUDE : READMIT) + " " + (long) nowMs + " " + serverId;
    }

    /**
     * Applies a record. A malformed record is ignored: it may be truncated if the process that
     * wrote it was killed.
     *
     * @return the id of the server in the record, or null if the record was ignored
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
        dropLifted(atMs);
        return serverId;
    }

    /** Repeated calls have no effect: the exclusion keeps its start time. */
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

    private void dropLifted(double nowMs) {
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

    /** Whether a server is excluded, or was excluded and the exclusion is still retained. */
    boolean isKnown(String serverId) {
        return exclusions.containsKey(serverId);
    }

    /**
     * Returns the latest time at which a server may have started. It may have been restarted while
     * it was excluded, and discovery may not have reported that yet. Until discovery reports a
     * start during the exclusion, the server is assumed to have started when it was readmitted, so
     * that a cold server is not taken for a warm one.
     */
    double startedAtMs(String serverId, double listedStartedAtMs) {
        Exclusion exclusion = exclusions.get(serverId);
        if (exclusion == null || exclusion.isInForce() || listedStartedAtMs > exclusion.sinceMs) {
            return listedStartedAtMs;
        }
        return exclusion.untilMs;
    }
}
