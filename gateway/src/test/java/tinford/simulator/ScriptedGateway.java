package tinford.simulator;

import java.util.HashMap;
import java.util.Map;

/** The simulator's view of a gateway instance of a recording. */
final class ScriptedGateway {
    final String name;
    final int number;
    final Map<Long, ScriptedRequest> requests = new HashMap<>();
    private final Recording recording;

    boolean up;
    boolean watching;
    private long incarnation;

    ScriptedGateway(Recording recording, int number) {
        this.recording = recording;
        this.name = "gateway_" + number;
        this.number = number;
    }

    void start() {
        up = true;
        watching = false;
        incarnation++;
    }

    void kill() {
        sendEvent("Killed", "");
        up = false;
        requests.clear();
    }

    /** Runs the action after the delay, unless this instance has ended by then. */
    void schedule(long delayUs, Runnable action) {
        long scheduledBy = incarnation;
        recording.timeline.schedule(
                delayUs,
                () -> {
                    if (up && incarnation == scheduledBy) {
                        action.run();
                    }
                });
    }

    /** Adds an event to the batch; the fields are JSON without braces. */
    void sendEvent(String type, String fields) {
        String separator = fields.isEmpty() ? "" : ",";
        recording.send("{\"" + type + "\":{\"I\":\"" + name + "\"" + separator + fields + "}}");
    }
}
