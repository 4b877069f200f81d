package tinford.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import tinford.simulator.RecordingScenario.FaultKind;

/** Shared state of a simulated deployment: time, random numbers and the batch to send. */
final class Recording {
    final RecordingScenario scenario;
    final ScriptedTimeline timeline = new ScriptedTimeline();

    /** Used in the order of the events, so that a recording is reproducible from its seed. */
    final Random random;

    private final List<String> batch = new ArrayList<>();

    Recording(RecordingScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
    }

    /** Adds a message to the batch. */
    void send(String message) {
        batch.add(message);
    }

    /** Returns the messages of the batch and starts a new one. */
    List<String> takeBatch() {
        List<String> taken = List.copyOf(batch);
        batch.clear();
        return taken;
    }

    boolean isDuring(FaultKind kind) {
        return scenario.isDuring(kind, timeline.elapsedS());
    }

    /** Draws a time with an exponential distribution. */
    double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
