package tinford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Admitted requests that wait for a slot at a server, ordered by descending priority weight and
 * then by arrival.
 */
final class AdmissionQueue {
    private static final Comparator<PendingRequest> BY_PRIORITY =
            (a, b) ->
                    a.weight == b.weight
                            ? Long.compare(a.sequence, b.sequence)
                            : Double.compare(b.weight, a.weight);

    private final TreeSet<PendingRequest> requests = new TreeSet<>(BY_PRIORITY);

    void add(PendingRequest pending) {
        requests.add(pending);
    }

    void remove(PendingRequest pending) {
        requests.remove(pending);
    }

    /** Returns the number of requests that would be served before this one. */
    int countAhead(PendingRequest pending) {
        return requests.headSet(pending).size();
    }

    /** Returns an ordered copy, so that requests may be removed during iteration. */
    List<PendingRequest> inOrder() {
        return new ArrayList<>(requests);
    }
}
