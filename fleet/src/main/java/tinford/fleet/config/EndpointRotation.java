package tinford.fleet.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The order in which a follower tries the control servers, and the backoff between attempts.
 * Servers in the follower's own region come first; servers of equal rank are in random order, so
 * that followers spread over them. The backoff doubles after each pass over all servers in which
 * none succeeded. Not thread-safe.
 */
final class EndpointRotation {
    /** The longest backoff during the first pass over the servers. */
    static final double INITIAL_BACKOFF_MS = 250;

    static final double MAX_BACKOFF_MS = 4_000;

    /** The shortest backoff, as a fraction of the longest one; it is drawn at random in between. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final String region;
    private final List<Endpoint> endpoints;
    private final RandomGenerator random;
    private int next;
    private int failures;

    EndpointRotation(String region, List<Endpoint> endpoints, RandomGenerator random) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("control servers: expected at least one");
        }
        this.region = region;
        this.random = random;
        this.endpoints = new ArrayList<>(endpoints);
        shuffle();
    }

    boolean isOwnRegion(Endpoint endpoint) {
        return endpoint.region().equals(region);
    }

    boolean hasServerInOwnRegion() {
        return isOwnRegion(endpoints.get(0));
    }

    /** Returns the server to try next. */
    Endpoint next() {
        Endpoint endpoint = endpoints.get(next);
        next = (next + 1) % endpoints.size();
        return endpoint;
    }

    /** Starts over with the servers in the own region, in a new random order. */
    void restart() {
        shuffle();
        next = 0;
    }

    /** Resets the backoff because the server last returned by {@link #next} is healthy. */
    void succeeded() {
        failures = 0;
    }

    /** Records that the server last returned by {@link #next} failed; returns the backoff in ms. */
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
