package tinford.simulator;

import java.util.Locale;

/** A server of a recording, with its entry in the endpoint list. */
final class ScriptedServer {
    final String id;
    private final String zone;
    private final int cell;
    private final double size;

    long startedAtUs;
    String condition = "up";
    int attemptsInFlight;

    ScriptedServer(String id, String zone, int cell, double size) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.size = size;
    }

    boolean isUp() {
        return condition.equals("up");
    }

    boolean isRemoved() {
        return condition.equals("removed");
    }

    /** Returns the entry, as JSON. */
    String entry() {
        String started = startedAtUs > 0 ? ",\"BornUs\":" + startedAtUs : "";
        return String.format(
                Locale.ROOT,
                "{\"Server\":\"%s\",\"FailureDomain\":\"%s\",\"Kind\":\"k\",\"Bay\":%d,"
                        + "\"Condition\":\"%s\",\"Size\":%s%s}",
                id,
                zone,
                cell,
                condition,
                size,
                started);
    }
}
