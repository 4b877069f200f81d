package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One TCP connection, accepted or opened from here. Its owner extends it; all callbacks come within
 * a turn.
 */
public abstract class Connection implements EventLoop.Task {
    private static final double LAST_BYTES =
            1000; // how long the other side may take to end its sending too
    private static final double LAST_READ = 20_000; // or to read what was written before that
    private static final int MOST_LOOKED =
            64; // reads in one go, for an end that lies behind what was sent before
    private static final int MOST_AHEAD = 256 << 10; // bytes kept unread on that account
    private static final double LOOK = 50; // for the end of one that is not listened to
    private static final double LAST_LINE =
            50; // or, where it is not listened to any more, to read what was written
    private static final OptionMap PLAIN = OptionMap.create(Options.TCP_NODELAY, true);
    protected final EventLoop loop;
    protected final ConnectionBuffer buf;
    private final int mostUnread;
    private final int mostUnwritten;
    private StreamConnection connection;
    private IoFuture<StreamConnection> opening;
    private EventLoop.Timer patience;
    private CloseReason failing;
    private CloseReason finishing;
    private int awaited = -1; // unwritten bytes at which its owner wants to hear of it
    private boolean noted,
            opened,
            came,
            drained,
            dirty,
            holds,
            over,
            held,
            deaf,
            looks,
            brief,
            shut,
            gone;

    /**
     * @param mostUnread bytes that may wait to be read whole; a link whose buffer holds more is
     *     overfull
     */
    protected Connection(EventLoop loop, int mostUnread, int mostUnwritten) {
        this.loop = loop;
        this.buf = new ConnectionBuffer(loop.bufferBudget);
        this.mostUnread = mostUnread;
        this.mostUnwritten = mostUnwritten;
    }

    /** Whose descriptors it counts among. */
    protected abstract DescriptorBudget.Party party();

    /** The connection that was opened from here is up. */
    protected abstract void onOpened();

    /** Bytes came; what is not taken is kept. */
    protected abstract void onReceived();

    /** No more is unwritten than was asked for with {@link #awaitDrain}. */
    protected void onDrained() {}

    /** The last callback of every link, but for {@link #onDescriptorReleased}. */
    protected abstract void onEnded(CloseReason how);

    /** Whether the other side is to have seen the end before it counts as closed. */
    protected boolean waits() {
        return false;
    }

    /**
     * It is closed, and where {@link #waits} says so the other side has seen that, or had its time
     * to.
     */
    protected void onDescriptorReleased() {}

    public final boolean isOpen() {
        return connection != null && !over;
    }

    public final boolean isClosed() {
        return over;
    }

    /** What was put for writing has left for the other side, to the last byte. */
    public final boolean allWritten() {
        return connection != null && buf.unwritten() == 0;
    }

    /**
     * @param within 0 where there is no room for it: then none is opened
     */
    protected final void open(InetSocketAddress to, double within) {
        holds = within > 0 && loop.descriptorBudget.take(party());
        if (!holds) {
            fail(CloseReason.NO_ROOM);
            return;
        }
        patience = loop.schedule(within, () -> close(CloseReason.NEVER_UP));
        opening = loop.thread.openStreamConnection(to, this::isOpen, PLAIN);
        opening.addNotifier(
                (future, nothing) -> {
                    if (future.getStatus() == IoFuture.Status.FAILED) {
                        fail(CloseReason.REFUSED);
                    }
                },
                null);
    }

    private void isOpen(StreamConnection c) {
        if (over) {
            IoUtils.safeClose(c);
            return;
        }
        patience.cancel();
        opened = true;
        adopt(c);
        note();
    }

    final void adopt(StreamConnection c) {
        connection = c;
        c.getSourceChannel().setReadListener(ch -> readable());
        c.getSinkChannel().setWriteListener(ch -> writable());
        c.getSourceChannel().resumeReads();
    }

    final void holdsDescriptor() {
        holds = true;
    }

    private boolean readable() {
        try {
            int n = buf.read(connection.getSourceChannel().getConduit());
            if (n > 0) {
                came = true;
                note();
            } else if (n < 0) {
                fail(CloseReason.ENDED);
            }
            return n > 0;
        } catch (IOException e) {
            connection.getSourceChannel().suspendReads();
            fail(CloseReason.BROKEN);
            return false;
        }
    }

    /**
     * Looks once more whether anything has come, or the connection has ended, since the sockets
     * were last read.
     */
    public final boolean isQuiet() {
        if (connection != null && !over && failing == null && !came) {
            readable();
        }
        return !over && failing == null && !came && buf.unread() == 0;
    }

    /**
     * Whether the other side has ended its sending, or broken it, by now: also where that lies
     * behind what it sent before.
     */
    protected final boolean ends() {
        boolean more = connection != null && !held;
        for (int i = 0;
                i < MOST_LOOKED
                        && more
                        && !endSeen()
                        && buf.unread() <= MOST_AHEAD
                        && !loop.bufferBudget.isNearlyExhausted();
                i++) {
            more = readable();
            if (deaf) {
                passOver();
            }
        }
        return endSeen();
    }

    /** Whether it has ended, or is about to: the other side's end has been read. */
    protected final boolean endSeen() {
        return over || failing != null;
    }

    private void writable() {
        connection.getSinkChannel().suspendWrites();
        flush();
    }

    /** What was put into the buffer leaves at the end of this turn. */
    protected final void send() {
        if (!dirty && !over) {
            dirty = true;
            loop.unflushed(this);
        }
    }

    final void flush() {
        dirty = false;
        if (connection == null
                || over
                || buf.unwritten() == 0 && finishing == null && awaited < 0) {
            return;
        }
        try {
            buf.write(connection.getSinkChannel().getConduit());
            if (buf.unwritten() <= awaited) {
                awaited = -1;
                drained = true;
                note();
            }
            if (buf.unwritten() > mostUnwritten
                    || loop.bufferBudget.isExceeded() && buf.unwritten() > 0) {
                fail(CloseReason.OVERFULL);
            } else if (buf.unwritten() > 0) {
                connection.getSinkChannel().resumeWrites();
            } else if (finishing != null && !shut) {
                shut();
            }
        } catch (IOException e) {
            fail(CloseReason.BROKEN);
        }
    }

    private void shut() throws IOException {
        if (looks && !isQuiet()) { // guards what has come since: it is heard first
            goOn();
            return;
        }
        shut = true;
        connection.getSinkChannel().shutdownWrites();
        if (!brief) { // its time counts from now: until here the other side may have been busy
            // reading
            patience.cancel();
            patience = loop.schedule(LAST_BYTES, () -> close(finishing));
        }
    }

    private void goOn() {
        finishing = null;
        patience.cancel();
    }

    private void fail(CloseReason how) {
        if (failing == null) {
            failing = how;
        }
        note();
    }

    private void note() {
        if (!noted && !over) {
            noted = true;
            loop.submit(this);
        }
    }

    @Override
    public final void run() {
        noted = false;
        if (opened && !over) {
            opened = false;
            onOpened();
            send();
        }
        if (came && !over) {
            came = false;
            if (finishing != null
                    && looks
                    && !shut) { // what was written is not all read yet, and more has come meanwhile
                goOn();
            }
            if (finishing != null) {
                buf.consume(buf.unread());
            } else {
                onReceived();
            }
            if (!over
                    && (buf.unread() > mostUnread
                            || loop.bufferBudget.isExceeded() && buf.unread() > 0)) {
                close(CloseReason.OVERFULL);
            }
        }
        if (drained && !over) {
            drained = false;
            onDrained();
        }
        if (failing != null) {
            close(finishing != null ? finishing : failing);
        }
    }

    /**
     * {@link #onDrained} comes once so few bytes are unwritten, after the end of this turn at the
     * earliest.
     */
    public final void awaitDrain(int unwritten) {
        awaited = unwritten;
        send();
    }

    /** Reads no more for now: what is sent meanwhile waits in the machine. */
    protected final void hold() {
        if (connection != null && !over) {
            held = true;
            connection.getSourceChannel().suspendReads();
        }
    }

    protected final void release() {
        if (held && !over) {
            held = false;
            connection.getSourceChannel().resumeReads();
        }
    }

    /**
     * Ends the sending once all is written, and the connection when the other side has done the
     * same. A close at once could be a reset, before which the last answer would be lost.
     */
    protected final void finish(CloseReason how) {
        if (!over && finishing == null) {
            finishing = how;
            patience = loop.schedule(LAST_READ, () -> close(how));
            send();
        }
    }

    /**
     * As {@link #finish}, but not where something has come until right before it: its owner hears
     * of that, and asks again.
     */
    protected final void finishIfQuiet(CloseReason how) {
        looks = true;
        finish(how);
    }

    /**
     * Guards against what is sent without end: nothing more is read, and the connection ends soon
     * after its last line.
     */
    protected final void dismiss(CloseReason how) {
        looks = false;
        brief = true;
        deaf();
        finish(how);
        if (!over && patience != null) {
            patience.cancel();
            patience = loop.schedule(LAST_LINE, () -> close(how));
        }
    }

    /** Follows it no more: what is still sent is passed over at leisure, until it ends. */
    protected final void deaf() {
        if (connection != null && !over && !deaf) {
            deaf = true;
            connection.getSourceChannel().suspendReads();
            passOver();
            listen();
        }
    }

    private void listen() {
        if (!ends()) {
            loop.schedule(LOOK, this::listen);
        }
    }

    private void passOver() {
        buf.consume(buf.unread());
        came = false;
    }

    /** Closes it, whatever state it is in; the first call counts. */
    public final void close(CloseReason how) {
        if (over) {
            return;
        }
        over = true;
        if (patience != null) {
            patience.cancel();
        }
        boolean seen =
                connection == null
                        || how == CloseReason.ENDED
                        || how == CloseReason.BROKEN
                        || !waits();
        if (!seen) {
            bid();
        } else if (connection != null) {
            IoUtils.safeClose(connection);
        } else if (opening != null) {
            opening.cancel();
        }
        if (seen) {
            giveDescriptor(); // what is opened in its place may need it
        }
        onEnded(how);
        buf.free();
        if (seen) {
            onDescriptorReleased();
        }
    }

    private void giveDescriptor() {
        if (holds) {
            loop.descriptorBudget.give(party());
        }
    }

    /**
     * Ends the sending only, and closes when the other side has done so too: then it has seen the
     * end.
     */
    private void bid() {
        EventLoop.Task last =
                () -> {
                    if (!gone) {
                        gone = true;
                        patience.cancel();
                        IoUtils.safeClose(connection);
                        giveDescriptor();
                        onDescriptorReleased();
                    }
                };
        patience = loop.schedule(LAST_BYTES, () -> loop.submit(last));
        ByteBuffer rest = ByteBuffer.allocate(1024);
        connection
                .getSourceChannel()
                .setReadListener(
                        ch -> {
                            try {
                                int n;
                                do {
                                    n = ch.read(rest.clear());
                                } while (n > 0);
                                if (n == 0) {
                                    return;
                                }
                            } catch (IOException e) {
                                // reset: it has seen it
                            }
                            ch.suspendReads();
                            loop.submit(last);
                        });
        connection.getSourceChannel().resumeReads();
        try {
            connection.getSinkChannel().shutdownWrites();
        } catch (IOException e) {
            loop.submit(last);
        }
    }
}
