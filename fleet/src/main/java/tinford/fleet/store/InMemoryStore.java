package tinford.fleet.store;

import java.io.IOException;

/**
 * A store in memory for tests and the lab, with disk faults on demand. The stored bytes are in a
 * {@link Disk}, which outlives the store as a disk outlives a process.
 */
public final class InMemoryStore implements Store {
    /** State of the simulated disk. */
    public enum Fault {
        NONE,
        FULL,
        READ_ONLY,
        SLOW,
        UNREADABLE
    }

    /** A simulated disk: the checksummed file of the last write, and the one before. */
    public static final class Disk {
        private byte[] current;
        private byte[] previous;
        private Fault fault = Fault.NONE;
        private double slowWriteMs;

        public synchronized void setFault(Fault fault) {
            this.fault = fault;
        }

        /** Time that slow writes would have taken so far, in ms; no call waits. */
        public synchronized double slowWriteMs() {
            return slowWriteMs;
        }

        /** As a disk that was replaced by an empty one. */
        public synchronized void erase() {
            current = null;
            previous = null;
        }

        /** As a disk that was restored from an older copy. */
        public synchronized void revertToPrevious() {
            current = previous;
        }

        synchronized void setFile(byte[] file) {
            previous = current;
            current = file;
        }

        synchronized byte[] file() {
            return current;
        }
    }

    private static final double SLOW_WRITE_MS = 1000;
    private final Disk disk;
    private final int maxContentBytes;
    private final double maxFutureMs;
    private boolean closed;

    /**
     * @param maxFutureMs how far in the future a content may be dated
     */
    public InMemoryStore(Disk disk, int maxContentBytes, double maxFutureMs) {
        this.disk = disk;
        this.maxContentBytes = maxContentBytes;
        this.maxFutureMs = maxFutureMs;
    }

    @Override
    public ReadResult read(double nowMs) {
        synchronized (disk) {
            if (disk.fault == Fault.UNREADABLE) {
                return absent("can't be read");
            }
            if (disk.current == null) {
                return absent("none");
            }
            ReadResult result =
                    ChecksummedFile.decode(disk.current, nowMs, maxFutureMs, maxContentBytes);
            return result.content() != null ? result : absent(result.absenceReason());
        }
    }

    private static ReadResult absent(String reason) {
        return ReadResult.absent("memory: " + reason);
    }

    @Override
    public void write(byte[] content, double nowMs) throws IOException {
        synchronized (disk) {
            if (closed) {
                throw new IOException("memory: closed");
            }
            if (content.length > maxContentBytes) {
                throw new IOException(
                        "memory: content of "
                                + content.length
                                + " bytes, expected at most "
                                + maxContentBytes);
            }
            switch (disk.fault) {
                case FULL, READ_ONLY, UNREADABLE ->
                        throw new IOException("memory: disk is " + disk.fault);
                case SLOW -> disk.slowWriteMs += SLOW_WRITE_MS;
                default -> {}
            }
            disk.setFile(ChecksummedFile.encode(content, nowMs));
        }
    }

    @Override
    public void close() {
        synchronized (disk) {
            closed = true;
        }
    }
}
