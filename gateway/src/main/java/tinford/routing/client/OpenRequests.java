package tinford.routing.client;

import java.util.HashSet;
import java.util.Set;

/** The requests without a final answer so far, within the limits on their number and bytes. */
final class OpenRequests {
    private final ClientLimits limits;
    private final Set<Long> ids = new HashSet<>();
    private int count;
    private long heldBytes;

    OpenRequests(ClientLimits limits) {
        this.limits = limits;
    }

    void add(ClientRequest request) {
        count++;
        heldBytes += request.command.length();
        ids.add(request.id);
    }

    void remove(ClientRequest request) {
        count--;
        heldBytes -= request.command.length();
        ids.remove(request.id);
    }

    boolean containsId(long id) {
        return ids.contains(id);
    }

    /** Counts bytes of responses that wait for earlier ones, or no longer do if below 0. */
    void addHeldBytes(int bytes) {
        heldBytes += bytes;
    }

    boolean exceedLimits() {
        return count > limits.maxOpenRequests() || heldBytes > limits.maxHeldBytes();
    }
}
