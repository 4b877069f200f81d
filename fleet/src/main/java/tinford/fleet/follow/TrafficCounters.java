package tinford.fleet.follow;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the traffic of one configuration client. Thread-safe. */
final class TrafficCounters {
    private final AtomicLong bytesReceived = new AtomicLong();
    private final AtomicLong bytesSent = new AtomicLong();

    void addReceived(long bytes) {
        bytesReceived.addAndGet(bytes);
    }

    void addSent(long bytes) {
        bytesSent.addAndGet(bytes);
    }

    /** Bytes of response bodies. */
    long bytesReceived() {
        return bytesReceived.get();
    }

    /** Bytes of request URIs and bodies. */
    long bytesSent() {
        return bytesSent.get();
    }
}
