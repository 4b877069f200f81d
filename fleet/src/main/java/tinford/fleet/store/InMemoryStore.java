package tinford.fleet.store;

import java.io.IOException;

/**
 * A store in memory for tests and the lab, with the faults of a disk on demand. What lasts is in a
 * {@link Platter}, which outlives the store as a disk outlives a process. Holds two contents of at
 * most {@code largest} bytes.
 */
public final class InMemoryStore implements Store {
    /** What ails the disk. */
    public enum Fault {
        NONE,
        FULL,
        READ_ONLY,
        SLOW,
        UNREADABLE
    }

    /** What lasts: the sealed content of now, and the one before. */
    public static final class Platter {
        private byte[] now;
        private byte[] before;
        private Fault fault = Fault.NONE;
        private double slowMs;

        public synchronized void fault(Fault which) {
            fault = which;
        }

        /** Time that slow writes have taken so far, in driven time: nothing waits. */
        public synchronized double slowMs() {
            return slowMs;
        }

        /** As a disk that was replaced. */
        public synchronized void lose() {
            now = null;
            before = null;
        }

        /** As a disk restored from an older copy. */
        public synchronized void back() {
            now = before;
        }

        synchronized void bytes(byte[] sealed) {
            before = now;
            now = sealed;
        }

        synchronized byte[] bytes() {
            return now;
        }
    }

    private static final double SLOW_MS = 1000;
    private final Platter platter;
    private final int largest;
    private final double aheadMs;
    private boolean closed;

    public InMemoryStore(Platter platter, int largest, double aheadMs) {
        this.platter = platter;
        this.largest = largest;
        this.aheadMs = aheadMs;
    }

    @Override
    public Found read(double now) {
        synchronized (platter) {
            if (platter.fault == Fault.UNREADABLE) {
                return new Found(null, "memory: can't be read");
            }
            if (platter.now == null) {
                return new Found(null, "memory: none");
            }
            Found found = ChecksummedFile.open(platter.now, now, aheadMs, largest);
            return found.why() == null ? found : new Found(null, "memory: " + found.why());
        }
    }

    @Override
    public void write(byte[] content, double now) throws IOException {
        synchronized (platter) {
            if (closed) {
                throw new IOException("memory: closed");
            }
            if (content.length > largest) {
                throw new IOException(
                        "memory: content of "
                                + content.length
                                + " bytes, expected at most "
                                + largest);
            }
            if (platter.fault == Fault.FULL
                    || platter.fault == Fault.READ_ONLY
                    || platter.fault == Fault.UNREADABLE) {
                throw new IOException("memory: disk is " + platter.fault);
            }
            if (platter.fault == Fault.SLOW) {
                platter.slowMs += SLOW_MS;
            }
            platter.bytes(ChecksummedFile.seal(content, now));
        }
    }

    @Override
    public void close() {
        synchronized (platter) {
            closed = true;
        }
    }
}
