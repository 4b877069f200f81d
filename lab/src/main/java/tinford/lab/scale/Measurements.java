package tinford.lab.scale;

import java.util.List;
import java.util.stream.Stream;

/** The registry of all measurements; each area adds its own list here. */
public final class Measurements {
    private Measurements() {}

    /** All measurements, area by area. */
    public static List<Measurement> all() {
        return Stream.of(
                        DecisionMeasurements.all(),
                        ServerChoiceMeasurements.all(),
                        CounterMeasurements.all(),
                        AddedTimeMeasurements.all(),
                        GossipMeasurements.all(),
                        LogMeasurements.all(),
                        ConfigurationMeasurements.all(),
                        ConfigurationStateMeasurements.all(),
                        RestartMeasurements.all())
                .flatMap(List::stream)
                .toList();
    }
}
