package tinford.routing.client;

import java.util.HashSet;
import java.util.Set;

/** The requests without a final answer, and the limit on their number. */
final class OpenRequests {
    private final ClientLimits limits;
    private final Set<Long> ids = new HashSet<>();
    private int count;

    OpenRequests(ClientLimits limits) {
        this.limits = limits;
    }

    void add(ClientRequest request) {
        count++;
        ids.add(request.id);
    }

    void remove(ClientRequest request) {
        count--;
        ids.remove(request.id);
    }

    boolean containsId(long id) {
        return ids.contains(id);
    }

    boolean exceedLimit() {
        return count > limits.maxOpenRequests();
    }
}
