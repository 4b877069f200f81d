package tinford.simulator;

import java.util.LinkedHashMap;
import java.util.Map;
import tinford.simulator.RecordingScenario.FaultKind;

/** The shared counter of a recording, with its faults. */
final class ScriptedCounter {
    private static final long TIMEOUT_US = 50_000;
    private static final int MAX_EXTRA_LATENCY_US = 4_000;

    private final Recording recording;
    private final Map<Long, Double> totals = new LinkedHashMap<>();

    ScriptedCounter(Recording recording) {
        this.recording = recording;
    }

    void reset() {
        totals.clear();
    }

    /** Handles a call that a gateway makes now. */
    void increment(ScriptedGateway gateway, long key, double amount) {
        Call call = new Call(gateway, key, recording.timeline.nowUs());
        long tookUs = ScriptedTimeline.TICK_US + recording.random.nextInt(MAX_EXTRA_LATENCY_US);
        if (recording.isDuring(FaultKind.COUNTER_REJECTS) && recording.random.nextInt(2) == 0) {
            answer(call, tookUs, "overloaded", "");
            return;
        }
        if (isUnanswered()) {
            if (recording.random.nextBoolean()) {
                totals.merge(key, amount, Double::sum);
            }
            answer(call, TIMEOUT_US, "timed_out", "");
            return;
        }
        if (recording.isDuring(FaultKind.CONNECTIONS_BREAK) && recording.random.nextInt(10) == 0) {
            answer(call, tookUs, "unreachable", "");
            return;
        }
        double total = totals.merge(key, amount, Double::sum);
        answer(call, tookUs, "success", ",\"NowAt\":" + total);
    }

    private boolean isUnanswered() {
        boolean silent =
                recording.isDuring(FaultKind.COUNTER_SILENT)
                        || recording.isDuring(FaultKind.COUNTER_LATE)
                                && recording.random.nextInt(3) > 0;
        return silent || recording.random.nextInt(200) == 0;
    }

    private record Call(ScriptedGateway gateway, long key, long sentAtUs) {}

    private void answer(Call call, long tookUs, String outcome, String totalField) {
        call.gateway().schedule(tookUs, () -> sendAnswer(call, outcome, totalField));
    }

    private void sendAnswer(Call call, String outcome, String totalField) {
        long tookUs = recording.timeline.nowUs() - call.sentAtUs();
        call.gateway()
                .sendEvent(
                        "Added",
                        "\"TookUs\":"
                                + tookUs
                                + ",\"Name\":"
                                + call.key()
                                + ",\"How\":\""
                                + outcome
                                + "\""
                                + totalField);
    }
}
