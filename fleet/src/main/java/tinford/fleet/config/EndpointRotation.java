package tinford.fleet.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The order in which control servers are tried, and the backoff between attempts. Servers of the
 * own region come first; within a region the order is random, so that followers spread over the
 * servers. The backoff doubles after each round in which no server succeeded. Not thread-safe.
 */
final class EndpointRotation {
    /** The longest backoff of the first round. */
    static final double INITIAL_BACKOFF_MS = 250;

    static final double MAX_BACKOFF_MS = 4_000;

    /** A backoff is drawn between this part of its longest value and all of it. */
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

    /** The server to try next. */
    Endpoint next() {
        Endpoint endpoint = endpoints.get(next);
        next = (next + 1) % endpoints.size();
        return endpoint;
    }

    /** Starts again with the servers of the own region, in a new random order. */
    void restart() {
        shuffle();
        next = 0;
    }

    /** The server that {@link #next} returned last serves steadily; resets the backoff. */
    void succeeded() {
        failures = 0;
    }

    /** The server that {@link #next} returned last failed; returns the backoff in ms. */
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
