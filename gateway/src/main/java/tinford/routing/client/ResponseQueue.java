package tinford.routing.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinford.routing.upstream.ResponseSource;
import tinford.transport.CloseReason;
import tinford.transport.ConnectionBuffer;
import tinford.transport.MemoryBudget;

/**
 * The outstanding responses of a connection, in the order of its commands. A response that is ready
 * before an earlier one, or before the client accepts more, is kept until it can be written, and
 * counts in the memory of the connection.
 */
final class ResponseQueue {
    /** A kept response is written in parts, so that the buffer does not hold all of it again. */
    private static final int MAX_PART_BYTES = 16 << 10;

    private static final byte[] REJECTED_LINE = encodeLine(ClientConnection.REJECTED);
    private static final byte[] PONG_LINE = encodeLine(ClientConnection.PONG);

    private final ClientPool pool;
    private final ConnectionBuffer buffer;
    private final ClientMemory memory;
    private final WriteBackpressure backpressure;
    private ResponseSlot first;
    private ResponseSlot last;
    private int size;
    private long keptLineBytes;

    /**
     * @param buffer the buffer that responses are written to
     */
    ResponseQueue(
            ClientPool pool,
            ConnectionBuffer buffer,
            ClientMemory memory,
            WriteBackpressure backpressure) {
        this.pool = pool;
        this.buffer = buffer;
        this.memory = memory;
        this.backpressure = backpressure;
    }

    boolean isEmpty() {
        return first == null;
    }

    int size() {
        return size;
    }

    /** Returns the slot to be answered next, or null. */
    ResponseSlot first() {
        return first;
    }

    /**
     * Adds a slot.
     *
     * @param bytes memory that its command and its response will take, besides the slot itself
     */
    void add(ResponseSlot slot, long bytes) {
        hold(slot, ResponseSlot.HEAP_BYTES + bytes);
        size++;
        if (first == null) {
            first = slot;
        } else {
            last.next = slot;
        }
        last = slot;
    }

    /**
     * Writes a line if all earlier responses are written and the client accepts more; otherwise
     * keeps it.
     *
     * @param line the line without its line end
     * @return whether it was written
     */
    boolean putLine(ResponseSlot slot, String line) {
        if (canWrite(slot)) {
            buffer.put(line).putLineEnd();
            return true;
        }
        keepLine(slot, line);
        return false;
    }

    /** The lines that a client can cause in great numbers are shared. */
    private void keepLine(ResponseSlot slot, String line) {
        switch (line) {
            case ClientConnection.REJECTED -> keep(slot, REJECTED_LINE, 0);
            case ClientConnection.PONG -> keep(slot, PONG_LINE, 0);
            default -> keep(slot, encodeLine(line));
        }
        slot.isLine = true;
        keptLineBytes += slot.heldBytes;
    }

    /** The memory of the lines that are kept, which a client can cause in great numbers. */
    long keptLineBytes() {
        return keptLineBytes;
    }

    private static byte[] encodeLine(String line) {
        return (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Writes a value if all earlier responses are written and the client accepts more; otherwise
     * keeps a copy.
     *
     * @return whether it was written
     */
    boolean putValue(ResponseSlot slot, byte[] value, int from, int length) {
        if (canWrite(slot)) {
            buffer.put("$").put(length).putLineEnd().put(value, from, length).putLineEnd();
            return true;
        }
        keep(slot, encodeValue(value, from, length));
        return false;
    }

    /** Starts a streamed value as the next response. */
    void startStream(long length) {
        buffer.put("$").put(length).putLineEnd();
    }

    /** Whether all responses before a slot are complete. */
    boolean isNext(ResponseSlot slot) {
        return slot == first;
    }

    private boolean canWrite(ResponseSlot slot) {
        return isNext(slot) && !backpressure.isActive();
    }

    private static byte[] encodeValue(byte[] value, int from, int length) {
        byte[] head = ("$" + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] encoded = Arrays.copyOf(head, head.length + length + 2);
        System.arraycopy(value, from, encoded, head.length, length);
        encoded[head.length + length] = '\r';
        encoded[head.length + length + 1] = '\n';
        return encoded;
    }

    private void keep(ResponseSlot slot, byte[] response) {
        keep(slot, response, MemoryBudget.arrayBytes(response.length));
    }

    private void keep(ResponseSlot slot, byte[] response, long responseBytes) {
        slot.response = response;
        if (slot.request != null && slot.request.isExecutedOnce()) {
            slot.executedId = slot.request.id;
        }
        slot.request = null; // it has its final answer, and must not be held until this is written
        hold(slot, ResponseSlot.HEAP_BYTES + responseBytes);
    }

    /** Sets how much memory is counted for a slot. */
    private void hold(ResponseSlot slot, long bytes) {
        long change = bytes - slot.heldBytes;
        slot.heldBytes = bytes;
        if (change > 0) {
            memory.add(change);
        } else {
            memory.release(-change);
        }
    }

    /** Sets the source of a streamed response, which stays with its server until its turn. */
    void setSource(ResponseSlot slot, ResponseSource source) {
        slot.source = source;
        hold(slot, ResponseSlot.HEAP_BYTES);
    }

    /**
     * Removes the first slot, whose response is written, and writes the kept responses behind it.
     */
    void completeFirst() {
        removeFirst();
        writeKept();
    }

    /**
     * Writes the kept responses whose turn has come, as long as the client accepts more.
     *
     * @return whether any was written
     */
    boolean writeKept() {
        boolean written = false;
        while (first != null && first.response != null && !backpressure.isActive()) {
            int rest = first.response.length - first.writtenBytes;
            int length = Math.min(rest, MAX_PART_BYTES);
            buffer.put(first.response, first.writtenBytes, length);
            first.writtenBytes += length;
            if (length == rest) {
                removeFirst();
            }
            written = true;
        }
        return written;
    }

    private void removeFirst() {
        if (first.isLine) {
            keptLineBytes -= first.heldBytes;
        }
        hold(first, 0);
        size--;
        first = first.next;
    }

    /** Gives each request without a final answer one, as the process is about to end. */
    void terminateOpenRequests() {
        for (ResponseSlot slot = first; slot != null; slot = slot.next) {
            if (slot.request != null && !slot.request.isFinished()) {
                pool.terminate(slot.request);
            }
        }
    }

    /** Drops all responses, whose client has disconnected. */
    void abandon() {
        for (ResponseSlot slot = first; slot != null; slot = slot.next) {
            if (slot.source != null) {
                slot.source.close(CloseReason.CANCELLED);
                pool.keepIdIfExecuted(slot.request);
            } else if (slot.executedId != null) {
                pool.keepExecutedId(slot.executedId);
            } else if (slot.request != null && !slot.request.isFinished()) {
                pool.clientDisconnected(slot.request);
            }
            hold(slot, 0);
        }
        size = 0;
        first = null;
    }
}
