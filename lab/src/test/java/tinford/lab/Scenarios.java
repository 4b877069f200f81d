package tinford.lab;

import tinford.api.Idempotency;
import tinford.lab.scenario.Scenario;

/** Small worlds for tests. */
public final class Scenarios {
    private Scenarios() {}

    public static Scenario small(double ceilings, String faults) throws Scenario.Bad {
        return small(ceilings, faults, Idempotency.NON_IDEMPOTENT);
    }

    /**
     * @param ceilings of the plan's rate, or 0 for none
     */
    public static Scenario small(double ceilings, String faults, Idempotency effect)
            throws Scenario.Bad {
        return Scenario.of("small", text(ceilings, faults, effect));
    }

    public static String text(double ceilings, String faults, Idempotency effect) {
        return """
               length_s = 10
               tick = 4
               gateways = 2
               %s
               [net]
               one_way = 0.5
               jitter = 0.3
               list_late = 300
               list_spread = 0.5
               connect_timeout = 250
               [servers]
               count = 6
               cores = 2
               room = 20
               speed = 1
               speed_spread = 0.2
               zones = ["a"]
               cold_from = 0.2
               cold_time = 4000
               [counter]
               present = true
               parts = 2
               takes = 0.5
               line = 50
               timeout = 50
               [[frontends]]
               name = "f"
               share = 1
               work = 50
               dist = "EXPONENTIAL"
               cv = 1
               target = 800
               timeout = 2500
               value = 1
               effect = "%s"
               repeat_window = 3000
               [[plans]]
               name = "p"
               share = 1
               rate = 4
               burst = 8
               max_out = 0
               price = 1
               beyond_value = 0
               beyond_cost = 0.5
               ceiling = %s
               ceiling_burst = %s
               slack = 2
               [clients]
               customers = 60
               spread = 2
               skew = 0.7
               shift_s = 4
               use = 0.6
               heavy = 0.1
               heavy_times = 3
               spiky = 0.2
               spike_times = 3
               spike_s = 1
               spike_every_s = 5
               retries = 1
               honour = 0.5
               backoff = 100
               leave = 0.02
               largest = 2
               uneven = 0
               [rules]
               drain_grace = 250
               fall_multiple = 2
               fall_time = 1000
               max_dispatches = 3
               max_retry_after = 2000
               """
                        .formatted(
                                faults.isEmpty() ? "faults = []" : "",
                                effect,
                                4 * ceilings * 4,
                                ceilings * 40)
                + faults;
    }
}
