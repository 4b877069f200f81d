package tinford.lab.control;

import java.util.ArrayList;
import java.util.List;

/** When drawn changes are entered, in seconds from the start of a scenario. */
final class ChangePace {
    private static final int BURST_CHANGES = 100;
    private static final double BURST_SECONDS = 10;
    private static final double BURST_AT_SECONDS = 5;

    private ChangePace() {}

    static List<Double> of(ControlScenario scenario, ControlOptions options) {
        double length = scenario.seconds() * options.lengthFactor();
        List<Double> all = new ArrayList<>();
        if (scenario == ControlScenario.BURST) {
            for (int i = 0; i < BURST_CHANGES; i++) {
                double at = BURST_AT_SECONDS + i * BURST_SECONDS / BURST_CHANGES;
                all.add(at * options.lengthFactor());
            }
            return all;
        }
        for (double at = options.paceSeconds() / 2; at < length; at += options.paceSeconds()) {
            all.add(at);
        }
        return all;
    }
}
