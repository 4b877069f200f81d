package tinford.lab.scale;

import java.util.List;

/** The members' gossip: what it costs a gateway, and how soon all know of a loss. */
final class GossipMeasurements {
    private GossipMeasurements() {}

    static List<Measurement> all() {
        return List.of(
                new GossipTrafficMeasurement(),
                new GossipSilenceMeasurement(),
                new GossipLossMeasurement(),
                new GossipSocketsMeasurement());
    }
}
