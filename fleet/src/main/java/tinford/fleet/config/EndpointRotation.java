package tinford.fleet.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * In which order control servers are tried: those of the own region first, each region's in random
 * order, so that followers spread over them; and how long to wait before the next attempt, longer
 * after each round in which none served.
 */
final class EndpointRotation {
    /** How long the first round waits between attempts at most, ms; it doubles each round. */
    static final double INITIAL_BACKOFF_MS = 250;

    static final double MAX_BACKOFF_MS = 4_000;

    /** Of a delay, the least that is waited. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final String region;
    private final List<Endpoint> endpoints;
    private final RandomGenerator random;
    private int next;
    private int failures;

    EndpointRotation(String region, List<Endpoint> endpoints, RandomGenerator random) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("control servers: expected one at least");
        }
        this.region = region;
        this.random = random;
        this.endpoints = new ArrayList<>(endpoints);
        shuffle();
    }

    boolean isOwnRegion(Endpoint endpoint) {
        return endpoint.region().equals(region);
    }

    boolean hasOwnRegion() {
        return isOwnRegion(endpoints.get(0));
    }

    Endpoint next() {
        Endpoint endpoint = endpoints.get(next);
        next = (next + 1) % endpoints.size();
        return endpoint;
    }

    /** From the own region's first again. */
    void restart() {
        shuffle();
        next = 0;
    }

    /** The last one that {@link #next} gave served well. */
    void succeeded() {
        failures = 0;
    }

    /** It did not; how long to wait before the next, ms. */
    double failed() {
        int round = failures / endpoints.size();
        failures++;
        double backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * Math.pow(2, round));
        return backoffMs * (MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * random.nextDouble());
    }

    private void shuffle() {
        for (int i = endpoints.size() - 1; i > 0; i--) {
            Collections.swap(endpoints, i, random.nextInt(i + 1));
        }
        endpoints.sort((a, b) -> Boolean.compare(isOwnRegion(b), isOwnRegion(a)));
    }
}
