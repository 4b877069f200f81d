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
public abstract class Link implements Loop.Due {
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
    protected final Loop loop;
    protected final Buf buf;
    private final int mostUnread;
    private final int mostUnwritten;
    private StreamConnection connection;
    private IoFuture<StreamConnection> opening;
    private Loop.Timer patience;
    private Ending failing;
    private Ending finishing;
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
    protected Link(Loop loop, int mostUnread, int mostUnwritten) {
        this.loop = loop;
        this.buf = new Buf(loop.room);
        this.mostUnread = mostUnread;
        this.mostUnwritten = mostUnwritten;
    }

    /** Whose descriptors it counts among. */
    protected abstract Descriptors.Party party();

    /** The connection that was opened from here is up. */
    protected abstract void opened();

    /** Bytes came; what is not taken is kept. */
    protected abstract void received();

    /** No more is unwritten than was asked for with {@link #awaitDrain}. */
    protected void drained() {}

    /** The last callback of every link, but for {@link #closed}. */
    protected abstract void ended(Ending how);

    /** Whether the other side is to have seen the end before it counts as closed. */
    protected boolean waits() {
        return false;
    }

    /**
     * It is closed, and where {@link #waits} says so the other side has seen that, or had its time
     * to.
     */
    protected void closed() {}

    public final boolean up() {
        return connection != null && !over;
    }

    public final boolean over() {
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
        holds = within > 0 && loop.descriptors.take(party());
        if (!holds) {
            fail(Ending.NO_ROOM);
            return;
        }
        patience = loop.after(within, () -> end(Ending.NEVER_UP));
        opening = loop.thread.openStreamConnection(to, this::up, PLAIN);
        opening.addNotifier(
                (future, nothing) -> {
                    if (future.getStatus() == IoFuture.Status.FAILED) {
                        fail(Ending.REFUSED);
                    }
                },
                null);
    }

    private void up(StreamConnection c) {
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
                fail(Ending.ENDED);
            }
            return n > 0;
        } catch (IOException e) {
            connection.getSourceChannel().suspendReads();
            fail(Ending.BROKEN);
            return false;
        }
    }

    /**
     * Looks once more whether anything has come, or the connection has ended, since the sockets
     * were last read.
     */
    public final boolean quiet() {
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
                        && !loop.room.tight();
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
            if (buf.unwritten() > mostUnwritten || loop.room.overdrawn() && buf.unwritten() > 0) {
                fail(Ending.OVERFULL);
            } else if (buf.unwritten() > 0) {
                connection.getSinkChannel().resumeWrites();
            } else if (finishing != null && !shut) {
                shut();
            }
        } catch (IOException e) {
            fail(Ending.BROKEN);
        }
    }

    private void shut() throws IOException {
        if (looks && !quiet()) { // guards what has come since: it is heard first
            goOn();
            return;
        }
        shut = true;
        connection.getSinkChannel().shutdownWrites();
        if (!brief) { // its time counts from now: until here the other side may have been busy
            // reading
            patience.cancel();
            patience = loop.after(LAST_BYTES, () -> end(finishing));
        }
    }

    private void goOn() {
        finishing = null;
        patience.cancel();
    }

    private void fail(Ending how) {
        if (failing == null) {
            failing = how;
        }
        note();
    }

    private void note() {
        if (!noted && !over) {
            noted = true;
            loop.due(this);
        }
    }

    @Override
    public final void play() {
        noted = false;
        if (opened && !over) {
            opened = false;
            opened();
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
                buf.take(buf.unread());
            } else {
                received();
            }
            if (!over && (buf.unread() > mostUnread || loop.room.overdrawn() && buf.unread() > 0)) {
                end(Ending.OVERFULL);
            }
        }
        if (drained && !over) {
            drained = false;
            drained();
        }
        if (failing != null) {
            end(finishing != null ? finishing : failing);
        }
    }

    /**
     * {@link #drained} comes once so few bytes are unwritten, after the end of this turn at the
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
    protected final void finish(Ending how) {
        if (!over && finishing == null) {
            finishing = how;
            patience = loop.after(LAST_READ, () -> end(how));
            send();
        }
    }

    /**
     * As {@link #finish}, but not where something has come until right before it: its owner hears
     * of that, and asks again.
     */
    protected final void finishIfQuiet(Ending how) {
        looks = true;
        finish(how);
    }

    /**
     * Guards against what is sent without end: nothing more is read, and the connection ends soon
     * after its last line.
     */
    protected final void dismiss(Ending how) {
        looks = false;
        brief = true;
        deaf();
        finish(how);
        if (!over && patience != null) {
            patience.cancel();
            patience = loop.after(LAST_LINE, () -> end(how));
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
            loop.after(LOOK, this::listen);
        }
    }

    private void passOver() {
        buf.take(buf.unread());
        came = false;
    }

    /** Closes it, whatever state it is in; the first call counts. */
    public final void end(Ending how) {
        if (over) {
            return;
        }
        over = true;
        if (patience != null) {
            patience.cancel();
        }
        boolean seen =
                connection == null || how == Ending.ENDED || how == Ending.BROKEN || !waits();
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
        ended(how);
        buf.free();
        if (seen) {
            closed();
        }
    }

    private void giveDescriptor() {
        if (holds) {
            loop.descriptors.give(party());
        }
    }

    /**
     * Ends the sending only, and closes when the other side has done so too: then it has seen the
     * end.
     */
    private void bid() {
        Loop.Due last =
                () -> {
                    if (!gone) {
                        gone = true;
                        patience.cancel();
                        IoUtils.safeClose(connection);
                        giveDescriptor();
                        closed();
                    }
                };
        patience = loop.after(LAST_BYTES, () -> loop.due(last));
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
                            loop.due(last);
                        });
        connection.getSourceChannel().resumeReads();
        try {
            connection.getSinkChannel().shutdownWrites();
        } catch (IOException e) {
            loop.due(last);
        }
    }
}
