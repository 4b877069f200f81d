package tinford.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The buffer of a connection, one array for both directions. The unread bytes (received but not yet
 * consumed) come before the unwritten bytes. Both regions are moved within the array as space is
 * needed, and the array grows when moving them is not enough.
 */
public final class ConnectionBuffer {
    private static final int MIN_CAPACITY_BYTES = 512;

    /** The minimum free space before each read. */
    private static final int READ_BYTES = 4096;

    /** Above this capacity the array grows by a fraction instead of doubling. */
    private static final int MAX_DOUBLED_BYTES = 16 << 10;

    private static final int GROWTH_DIVISOR = 4;

    /** A larger array is released as soon as it is empty. */
    private static final int MAX_EMPTY_CAPACITY_BYTES = 16 << 10;

    private final MemoryBudget budget;
    private byte[] bytes = new byte[0];
    private ByteBuffer view = ByteBuffer.wrap(bytes);
    private int readIndex;
    private int readLimit;
    private int writeIndex;
    private int writeLimit;
    private int maxReadBytes = READ_BYTES;
    private long writtenBytes;

    /** Whether the last read received all that the socket held. */
    private boolean isInputDrained = true;

    public ConnectionBuffer(MemoryBudget budget) {
        this.budget = budget;
    }

    /**
     * The array that holds the unread bytes, from {@link #readIndex} to {@link #readLimit}. Any
     * put, read or consume may move them.
     */
    public byte[] bytes() {
        return bytes;
    }

    public int readIndex() {
        return readIndex;
    }

    public int readLimit() {
        return readLimit;
    }

    /** The number of bytes received but not yet consumed. */
    public int unreadBytes() {
        return readLimit - readIndex;
    }

    public int unwrittenBytes() {
        return writeLimit - writeIndex;
    }

    /** The number of bytes that the socket has accepted so far. */
    public long writtenBytes() {
        return writtenBytes;
    }

    /** Removes that many unread bytes, the oldest first. */
    public void consume(int count) {
        readIndex += count;
        if (readIndex == readLimit) {
            readIndex = 0;
            readLimit = 0;
            releaseIfLargeAndEmpty();
        }
    }

    /** Sets how much space is freed for a read when the array has to be rearranged. */
    public void setMaxReadBytes(int maxBytes) {
        maxReadBytes = Math.max(READ_BYTES, maxBytes);
    }

    /** The heap size of the buffer. */
    public long heapBytes() {
        return MemoryBudget.arrayBytes(bytes.length);
    }

    /** Whether the last read received all that the socket held at that time. */
    public boolean isInputDrained() {
        return isInputDrained;
    }

    /**
     * Reads once, until there are {@code maxUnreadBytes} unread bytes at most.
     *
     * @return the number of bytes received, or -1 at the end of the stream
     */
    int read(StreamSourceConduit source, int maxUnreadBytes) throws IOException {
        int wanted = maxUnreadBytes - unreadBytes();
        if (wanted <= 0) {
            isInputDrained = false;
            return 0;
        }
        if (readEnd() - readLimit < Math.min(READ_BYTES, wanted)) {
            rearrange(Math.min(maxReadBytes, wanted), 0);
        }
        int end = (int) Math.min(readEnd(), (long) readLimit + wanted);
        view.limit(end).position(readLimit);
        int received = source.read(view);
        readLimit += Math.max(0, received);
        isInputDrained = readLimit < end;
        return received;
    }

    /** The end of the space that is available for received bytes. */
    private int readEnd() {
        return unwrittenBytes() == 0 ? bytes.length : writeIndex;
    }

    /** Writes until nothing is left or the socket accepts no more. */
    void write(StreamSinkConduit sink) throws IOException {
        if (writeUpTo(writeLimit, sink)) {
            resetWriteRegion();
            releaseIfLargeAndEmpty();
        }
    }

    /** As {@link #write}, but leaves the last byte for a separate write. */
    void writeAllButLast(StreamSinkConduit sink) throws IOException {
        writeUpTo(writeLimit - 1, sink);
    }

    /** Returns false if the socket stops accepting bytes before the limit is reached. */
    private boolean writeUpTo(int limit, StreamSinkConduit sink) throws IOException {
        while (writeIndex < limit) {
            view.limit(limit).position(writeIndex);
            int written = sink.write(view);
            if (written <= 0) {
                return false;
            }
            writeIndex += written;
            writtenBytes += written;
        }
        return true;
    }

    private void resetWriteRegion() {
        writeIndex = readLimit;
        writeLimit = readLimit;
    }

    /** Appends bytes to the unwritten bytes. */
    public ConnectionBuffer put(byte[] source, int offset, int count) {
        ensureWritable(count);
        System.arraycopy(source, offset, bytes, writeLimit, count);
        writeLimit += count;
        return this;
    }

    /** Appends ASCII text to the unwritten bytes. */
    public ConnectionBuffer put(String text) {
        return put(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
    }

    public ConnectionBuffer put(long number) {
        return put(Long.toString(number));
    }

    /** Appends CR LF. */
    public ConnectionBuffer putLineEnd() {
        ensureWritable(2);
        bytes[writeLimit++] = '\r';
        bytes[writeLimit++] = '\n';
        return this;
    }

    private void ensureWritable(int count) {
        if (unwrittenBytes() == 0) {
            resetWriteRegion();
        }
        if (bytes.length - writeLimit < count) {
            rearrange(0, count);
        }
    }

    /** Makes room in one step for that many unread bytes. */
    public void reserveForRead(int unreadBytes) {
        if (unreadBytes > unreadBytes() && bytes.length < unreadBytes + unwrittenBytes()) {
            moveTo(unreadBytes + unwrittenBytes(), true);
        }
    }

    /** By how much the heap size grows when there is room for that many unread bytes. */
    public long growthForRead(int unreadBytes) {
        int capacity = Math.max(bytes.length, unreadBytes + unwrittenBytes());
        return MemoryBudget.arrayBytes(capacity) - heapBytes();
    }

    /**
     * Makes room for more received bytes or for more bytes to write. In the first case the
     * unwritten bytes are placed at the end of the array, in the second directly after the unread
     * bytes.
     */
    private void rearrange(int moreToRead, int moreToWrite) {
        int needed = unreadBytes() + moreToRead + unwrittenBytes() + moreToWrite;
        moveTo(capacityFor(needed), moreToRead > 0);
    }

    /**
     * @param unwrittenAtEnd whether the unwritten bytes are placed at the end of the array
     */
    private void moveTo(int capacity, boolean unwrittenAtEnd) {
        int unread = unreadBytes();
        int unwritten = unwrittenBytes();
        byte[] target = capacity == bytes.length ? bytes : new byte[capacity];
        int writeStart = unwrittenAtEnd ? capacity - unwritten : unread;
        // the region that moves to the right is copied first, so that neither overwrites the other
        if (writeStart > writeIndex) {
            System.arraycopy(bytes, writeIndex, target, writeStart, unwritten);
        }
        System.arraycopy(bytes, readIndex, target, 0, unread);
        if (writeStart <= writeIndex) {
            System.arraycopy(bytes, writeIndex, target, writeStart, unwritten);
        }
        setArray(target);
        readIndex = 0;
        readLimit = unread;
        writeIndex = writeStart;
        writeLimit = writeStart + unwritten;
    }

    private int capacityFor(int neededBytes) {
        int capacity = Math.max(MIN_CAPACITY_BYTES, bytes.length);
        while (capacity < neededBytes) {
            capacity =
                    neededBytes > MAX_DOUBLED_BYTES
                            ? Math.max(neededBytes, capacity + capacity / GROWTH_DIVISOR)
                            : 2 * capacity;
        }
        return capacity;
    }

    private void releaseIfLargeAndEmpty() {
        boolean isLarge = bytes.length > Math.max(MAX_EMPTY_CAPACITY_BYTES, 2 * maxReadBytes);
        if (isLarge && unreadBytes() == 0 && unwrittenBytes() == 0) {
            release();
        }
    }

    /**
     * Moves the unread and unwritten bytes to a new array, so that the caller can keep the old one
     * with the bytes that it consumed last.
     */
    public void detachArray() {
        int unread = unreadBytes();
        int unwritten = unwrittenBytes();
        byte[] rest = new byte[unread + unwritten];
        System.arraycopy(bytes, readIndex, rest, 0, unread);
        System.arraycopy(bytes, writeIndex, rest, unread, unwritten);
        setArray(rest);
        readIndex = 0;
        readLimit = unread;
        writeIndex = unread;
        writeLimit = unread + unwritten;
    }

    /** Discards the content, and returns the array's bytes to the budget. */
    void release() {
        setArray(new byte[0]);
        readIndex = 0;
        readLimit = 0;
        writeIndex = 0;
        writeLimit = 0;
    }

    private void setArray(byte[] array) {
        if (array != bytes) {
            budget.release(heapBytes());
            budget.add(MemoryBudget.arrayBytes(array.length));
            bytes = array;
            view = ByteBuffer.wrap(array);
        }
    }
}
