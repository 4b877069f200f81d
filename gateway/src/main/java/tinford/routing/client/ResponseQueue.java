package tinford.routing.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinford.transport.CloseReason;
import tinford.transport.ConnectionBuffer;

/**
 * The outstanding responses of a connection, in the order of its commands. A response that is ready
 * before an earlier one, or before the client accepts more, is kept until it can be written, and
 * counts as held bytes.
 */
final class ResponseQueue {
    private final ClientPool pool;
    private final ConnectionBuffer buffer;
    private final WriteBackpressure backpressure;
    private ResponseSlot first;
    private ResponseSlot last;
    private int size;

    /**
     * @param buffer the buffer that responses are written to
     */
    ResponseQueue(ClientPool pool, ConnectionBuffer buffer, WriteBackpressure backpressure) {
        this.pool = pool;
        this.buffer = buffer;
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

    void add(ResponseSlot slot) {
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
        keep(slot, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return false;
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

    private boolean canWrite(ResponseSlot slot) {
        return slot == first && !backpressure.isActive();
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
        slot.response = response;
        pool.addHeldBytes(response.length);
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
            buffer.put(first.response, 0, first.response.length);
            pool.addHeldBytes(-first.response.length);
            removeFirst();
            written = true;
        }
        return written;
    }

    private void removeFirst() {
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
            if (slot.response != null) {
                pool.addHeldBytes(-slot.response.length);
            } else if (slot.source != null) {
                slot.source.close(CloseReason.CANCELLED);
            } else if (slot.request != null && !slot.request.isFinished()) {
                pool.clientDisconnected(slot.request);
            }
        }
        size = 0;
        first = null;
    }
}
