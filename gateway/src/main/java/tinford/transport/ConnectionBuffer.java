package tinford.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The one buffer of a connection. What came in and was not yet taken lies on the left, what waits
 * to be written lies on the right of it; both are moved within the array as room is needed, and the
 * array grows when that does not help.
 */
public final class ConnectionBuffer {
    private static final int LEAST = 512;
    private static final int READ = 4096; // room made for one read
    private static final int DOUBLED =
            256 << 10; // beyond it an array is made as long as it has to be
    private static final int KEPT = 16 << 10; // an empty array above this goes back
    private final BufferBudget room;
    private byte[] bytes = new byte[0];
    private ByteBuffer view = ByteBuffer.wrap(bytes);
    private int inFrom, inTo, outFrom, outTo;
    private int atRead = READ;

    public ConnectionBuffer(BufferBudget room) {
        this.room = room;
    }

    /**
     * What came in lies in here, from {@link #readIndex} to {@link #readLimit}; any write or read
     * may move it.
     */
    public byte[] bytes() {
        return bytes;
    }

    public int readIndex() {
        return inFrom;
    }

    public int readLimit() {
        return inTo;
    }

    public int unread() {
        return inTo - inFrom;
    }

    public int unwritten() {
        return outTo - outFrom;
    }

    public void consume(int n) {
        inFrom += n;
        if (inFrom == inTo) {
            inFrom = inTo = 0;
            shrink();
        }
    }

    /** How much one read may bring from now on. */
    public void readUpTo(int bytes) {
        atRead = Math.max(READ, bytes);
    }

    /** What one read brings: its number of bytes, or -1 at the end. */
    int read(StreamSourceConduit from) throws IOException {
        if ((unwritten() == 0 ? bytes.length : outFrom) - inTo < READ) {
            arrange(atRead, 0);
        }
        view.limit(unwritten() == 0 ? bytes.length : outFrom).position(inTo);
        int n = from.read(view);
        inTo += Math.max(0, n);
        return n;
    }

    /** Writes until all is written or no more is taken. */
    void write(StreamSinkConduit to) throws IOException {
        while (outFrom < outTo) {
            view.limit(outTo).position(outFrom);
            int n = to.write(view);
            if (n <= 0) {
                return;
            }
            outFrom += n;
        }
        outFrom = outTo = inTo;
        shrink();
    }

    public ConnectionBuffer put(byte[] src, int from, int n) {
        fit(n);
        System.arraycopy(src, from, bytes, outTo, n);
        outTo += n;
        return this;
    }

    /** Text of ASCII characters. */
    public ConnectionBuffer put(String text) {
        return put(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
    }

    public ConnectionBuffer put(long number) {
        return put(Long.toString(number));
    }

    public ConnectionBuffer putLineEnd() {
        fit(2);
        bytes[outTo++] = '\r';
        bytes[outTo++] = '\n';
        return this;
    }

    private void fit(int n) {
        if (unwritten() == 0) {
            outFrom = outTo = inTo;
        }
        if (bytes.length - outTo < n) {
            arrange(0, n);
        }
    }

    /**
     * So many bytes will lie here unread: room for them, and for a read behind them, is made once.
     */
    public void expect(int unread) {
        if (unread > unread() && bytes.length < unread + 2 * READ + unwritten()) {
            arrange(unread - unread() + 2 * READ, 0);
        }
    }

    private void arrange(int forIn, int forOut) {
        int in = unread();
        int out = unwritten();
        int size = Math.max(LEAST, bytes.length);
        int needed = in + forIn + out + forOut;
        while (size < needed) {
            size = needed > DOUBLED ? needed : 2 * size;
        }
        byte[] to = size == bytes.length ? bytes : new byte[size];
        int at = forIn > 0 ? size - out : in;
        if (at > outFrom) { // to the right first, so that neither part runs over the other
            System.arraycopy(bytes, outFrom, to, at, out);
        }
        System.arraycopy(bytes, inFrom, to, 0, in);
        if (at <= outFrom) {
            System.arraycopy(bytes, outFrom, to, at, out);
        }
        adopt(to);
        inFrom = 0;
        inTo = in;
        outFrom = at;
        outTo = at + out;
    }

    private void shrink() {
        if (bytes.length > Math.max(KEPT, 2 * atRead) && unread() == 0 && unwritten() == 0) {
            free();
        }
    }

    void free() {
        adopt(new byte[0]);
        inFrom = inTo = outFrom = outTo = 0;
    }

    private void adopt(byte[] to) {
        if (to != bytes) {
            room.release(bytes.length);
            room.reserve(to.length);
            bytes = to;
            view = ByteBuffer.wrap(to);
        }
    }
}
