package tinford.routing.client;

import java.util.HashSet;
import java.util.Set;

/** The requests without a final answer, and the limits on their number and bytes. */
final class OpenRequests {
    private final ClientLimits limits;
    private final Set<Long> ids = new HashSet<>();
    private final HeldBytes heldBytes;
    private int count;

    OpenRequests(ClientLimits limits, HeldBytes heldBytes) {
        this.limits = limits;
        this.heldBytes = heldBytes;
    }

    void add(ClientRequest request) {
        count++;
        heldBytes.add(request.command.length());
        ids.add(request.id);
    }

    void remove(ClientRequest request) {
        count--;
        heldBytes.add(-request.command.length());
        ids.remove(request.id);
    }

    boolean containsId(long id) {
        return ids.contains(id);
    }

    boolean exceedLimits() {
        return count > limits.maxOpenRequests() || heldBytes.isExceeded();
    }
}
