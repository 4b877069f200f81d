package tinford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Requests within their quotas that wait for a slot at a server: the highest weight first, then in
 * order of arrival.
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

    /** How many would be served before the request. */
    int countAhead(PendingRequest pending) {
        return requests.headSet(pending).size();
    }

    /** A copy in order, so that requests may be removed meanwhile. */
    List<PendingRequest> inOrder() {
        return new ArrayList<>(requests);
    }
}
