package tinford.simulator;

import java.util.HashMap;
import java.util.Map;
import tinford.api.Request;

/**
 * The requests of a simulated gateway that later messages may still refer to: those without a final
 * response, and those with attempts in flight.
 */
final class OpenRequests {
    private static final class OpenRequest {
        final Request request;
        int attemptsInFlight;
        boolean answered;

        OpenRequest(Request request) {
            this.request = request;
        }
    }

    private final Map<Long, OpenRequest> requests = new HashMap<>();

    void add(Request request) {
        requests.put(request.id, new OpenRequest(request));
    }

    /** Returns the request with this id, or null if it is no longer tracked. */
    Request find(long id) {
        OpenRequest open = requests.get(id);
        return open == null ? null : open.request;
    }

    /** Returns the request with this id, or null if it has its final response or is not tracked. */
    Request findUnanswered(long id) {
        OpenRequest open = requests.get(id);
        return open == null || open.answered ? null : open.request;
    }

    void attemptSent(Request request) {
        requests.get(request.id).attemptsInFlight++;
    }

    /**
     * Records the end of an attempt.
     *
     * @param requestEnded whether the request has its final response by now
     */
    void attemptEnded(Request request, boolean requestEnded) {
        OpenRequest open = requests.get(request.id);
        open.attemptsInFlight--;
        open.answered |= requestEnded;
    }

    /** Records the final response; the request is kept while attempts are in flight. */
    void answered(Request request) {
        OpenRequest open = requests.get(request.id);
        if (open != null) {
            open.answered = true;
            removeIfDone(open);
        }
    }

    /** Drops a request that has its final response and no attempt in flight. */
    void removeIfDone(Request request) {
        OpenRequest open = requests.get(request.id);
        if (open != null && open.answered) {
            removeIfDone(open);
        }
    }

    private void removeIfDone(OpenRequest open) {
        if (open.attemptsInFlight <= 0) {
            requests.remove(open.request.id);
        }
    }
}
