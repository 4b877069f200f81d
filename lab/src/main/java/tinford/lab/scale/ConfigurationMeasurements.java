package tinford.lab.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import tinford.lab.sockets.SingleGateway;

/**
 * What a change of configuration costs as long as a gateway takes over only the addresses of
 * discovery and counter while it runs, and all else by a restart.
 */
final class ConfigurationMeasurements {
    private static final double CHANGES_A_DAY = 1_400;
    private static final double SECONDS_A_DAY = 86_400;

    /** Operators restart a tenth of the gateways at a time. */
    private static final double STEPS = 10;

    private static final int SERVERS = 60;
    private static final int NEW_TARGET_MS = 1400;
    private static final String NEEDS_RESTART = "requires_restart=";

    private ConfigurationMeasurements() {}

    static List<Measurement> all() {
        return List.of(restart(), fleet());
    }

    /** One changed route at one real gateway: SIGHUP first, and a restart where that leaves it. */
    private static Measurement restart() {
        int[] routes = {100, 400, 1_000, ScaleFleetModel.DEPLOYED_ROUTES};
        return new SampledMeasurement(
                "configuration.restart",
                "routes",
                routes,
                routes,
                3,
                Growth.LINEAR,
                (size, seed) -> {
                    Restart one = change(size);
                    return new Sample(
                            Map.of(
                                    "restarts_a_change",
                                    (double) one.restarts,
                                    "configuration_bytes",
                                    (double) one.configurationBytes),
                            Map.of(
                                    "end_ms", one.endMs,
                                    "start_ms", one.startMs,
                                    "in_force_ms", one.endMs + one.startMs));
                });
    }

    /** Computed from the restart of one gateway: all gateways, at the day's changes. */
    private static Measurement fleet() {
        int[] gateways = {5, 100, 400, ScaleFleetModel.DEPLOYED_GATEWAYS};
        return new SampledMeasurement(
                "configuration.fleet",
                "gateways",
                gateways,
                gateways,
                3,
                Growth.LINEAR,
                (size, seed) -> {
                    Restart one = change(ScaleFleetModel.DEPLOYED_ROUTES);
                    double restarts = (double) size * one.restarts;
                    double seconds = (one.endMs + one.startMs) / 1000;
                    return new Sample(
                            Map.of(
                                    "computed_restarts_a_change",
                                    restarts,
                                    "computed_restarts_a_day",
                                    restarts * CHANGES_A_DAY,
                                    "computed_restarts_a_second",
                                    restarts * CHANGES_A_DAY / SECONDS_A_DAY),
                            Map.of(
                                    "computed_in_force_s_all_at_once",
                                    seconds,
                                    "computed_in_force_s_a_tenth_at_a_time",
                                    seconds * Math.min(STEPS, size),
                                    "computed_share_of_the_day_in_restarts",
                                    seconds
                                            * Math.min(STEPS, size)
                                            * CHANGES_A_DAY
                                            / SECONDS_A_DAY));
                });
    }

    private record Restart(int restarts, long configurationBytes, double endMs, double startMs) {}

    private static Restart change(int routes) throws IOException, InterruptedException {
        try (ScratchFolder folder = new ScratchFolder();
                SingleGateway gateway = new SingleGateway(routes, SERVERS, folder.path())) {
            gateway.start();
            gateway.configure(NEW_TARGET_MS);
            boolean left = gateway.hangUp().contains(NEEDS_RESTART);
            if (!left) {
                return new Restart(0, gateway.configurationBytes(), 0, 0);
            }
            double endMs = gateway.end();
            return new Restart(1, gateway.configurationBytes(), endMs, gateway.start());
        }
    }
}
