package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One TCP connection, accepted or opened by this process. Its owner extends it; all callbacks come
 * on the I/O thread, within a batch of the event loop.
 */
public abstract class Connection implements EventLoop.Task {
    private static final int NOT_AWAITED = -1;

    /** What the next call of {@link #run} passes on to the owner. */
    private enum Event {
        OPENED,
        RECEIVED,
        DRAINED
    }

    protected final EventLoop loop;
    protected final ConnectionBuffer buffer;
    private final int maxUnreadBytes;
    private final int maxUnwrittenBytes;
    private final GracefulClose gracefulClose;
    private final ReadAhead readAhead;
    private final EnumSet<Event> pendingEvents = EnumSet.noneOf(Event.class);
    private ConnectionState state = ConnectionState.CONNECTING;
    private StreamConnection connection;
    private ConnectAttempt connectAttempt;

    /** Why it is to be closed with the next call of {@link #run}, or null. */
    private CloseReason failure;

    /** The owner is to be called once no more bytes than these are unwritten. */
    private int awaitedUnwrittenBytes = NOT_AWAITED;

    private boolean isSubmitted;
    private boolean isFlushScheduled;
    private boolean holdsDescriptor;
    private boolean isReadSuspended;

    /**
     * @param maxUnreadBytes received and not consumed; a connection that exceeds it is closed
     * @param maxUnwrittenBytes the same for bytes that the peer does not take
     */
    protected Connection(EventLoop loop, int maxUnreadBytes, int maxUnwrittenBytes) {
        this.loop = loop;
        this.buffer = new ConnectionBuffer(loop.bufferBudget);
        this.gracefulClose = new GracefulClose(loop, this::close);
        this.readAhead = new ReadAhead(loop, this);
        this.maxUnreadBytes = maxUnreadBytes;
        this.maxUnwrittenBytes = maxUnwrittenBytes;
    }

    /** The part of the descriptor budget that it counts against. */
    protected abstract DescriptorBudget.PeerKind party();

    /** The connection opened with {@link #open} is established. */
    protected abstract void onOpened();

    /** Bytes were received; those that are not consumed stay in the buffer. */
    protected abstract void onReceived();

    /** Bytes came after the end of the sending, and are dropped: they crossed that end. */
    protected void onLateInput() {}

    /** No more bytes are unwritten than {@link #awaitDrain} asked for. */
    protected void onDrained() {}

    /** The last callback of every connection, but for {@link #onDescriptorReleased}. */
    protected abstract void onClosed(CloseReason reason);

    /** Whether its descriptor is kept until the peer has seen the close. */
    protected boolean waitsForPeerClose() {
        return false;
    }

    /** The socket is closed, after the wait that {@link #waitsForPeerClose} may ask for. */
    protected void onDescriptorReleased() {}

    public final boolean isOpen() {
        return state.isOpen();
    }

    public final boolean isClosed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether the operating system has taken every byte that was put for writing. */
    public final boolean isAllWritten() {
        return connection != null && buffer.unwrittenBytes() == 0;
    }

    /**
     * Connects.
     *
     * @param timeoutMs 0 closes the connection at once with {@link CloseReason#NO_DESCRIPTOR}
     */
    protected final void open(InetSocketAddress address, double timeoutMs) {
        holdsDescriptor = timeoutMs > 0 && loop.descriptorBudget.tryAcquire(party());
        if (!holdsDescriptor) {
            fail(CloseReason.NO_DESCRIPTOR);
            return;
        }
        connectAttempt = new ConnectAttempt(loop, address, timeoutMs, this);
    }

    final void connected(StreamConnection established) {
        if (isClosed()) {
            IoUtils.safeClose(established);
            return;
        }
        pendingEvents.add(Event.OPENED);
        adopt(established);
        submitEvents();
    }

    final void adopt(StreamConnection established) {
        connection = established;
        state = ConnectionState.OPEN;
        established.getSourceChannel().setReadListener(channel -> read());
        established.getSinkChannel().setWriteListener(channel -> writable());
        established.getSourceChannel().resumeReads();
    }

    final void markDescriptorAcquired() {
        holdsDescriptor = true;
    }

    /** Reads once; true when bytes were received. */
    final boolean read() {
        try {
            int received = buffer.read(connection.getSourceChannel().getConduit());
            if (received > 0) {
                pendingEvents.add(Event.RECEIVED);
                submitEvents();
            } else if (received < 0) {
                fail(CloseReason.CLOSED_BY_PEER);
            }
            return received > 0;
        } catch (IOException e) {
            connection.getSourceChannel().suspendReads();
            fail(CloseReason.IO_ERROR);
            return false;
        } catch (RuntimeException | Error e) {
            connection.getSourceChannel().suspendReads();
            loop.closeFailed(this, e);
            return false;
        }
    }

    /** Reads the socket once more; true when nothing was received and the peer has not closed. */
    public final boolean isQuiet() {
        if (isOpen() && failure == null && !pendingEvents.contains(Event.RECEIVED)) {
            read();
        }
        return !isPeerCloseSeen()
                && !pendingEvents.contains(Event.RECEIVED)
                && buffer.unreadBytes() == 0;
    }

    /**
     * Reads ahead, within bounds, to find out whether the peer has closed or reset the connection
     * behind what it sent before.
     */
    protected final boolean pollPeerClosed() {
        readAhead.poll();
        return isPeerCloseSeen();
    }

    final boolean isReadable() {
        return connection != null && !isReadSuspended;
    }

    /** Whether it is closed, or is about to be: the peer's close or a failure was read. */
    protected final boolean isPeerCloseSeen() {
        return isClosed() || failure != null;
    }

    private void writable() {
        connection.getSinkChannel().suspendWrites();
        try {
            flush();
        } catch (RuntimeException | Error e) {
            loop.closeFailed(this, e);
        }
    }

    /** What was put into the buffer is written at the end of this batch. */
    protected final void scheduleFlush() {
        if (!isFlushScheduled && !isClosed()) {
            isFlushScheduled = true;
            loop.flushAfterBatch(this);
        }
    }

    final void flush() {
        isFlushScheduled = false;
        if (!isOpen() || !hasFlushWork()) {
            return;
        }
        try {
            holdBackLastByte();
            buffer.write(connection.getSinkChannel().getConduit());
            if (buffer.unwrittenBytes() <= awaitedUnwrittenBytes) {
                awaitedUnwrittenBytes = NOT_AWAITED;
                pendingEvents.add(Event.DRAINED);
                submitEvents();
            }
            if (exceedsLimit(buffer.unwrittenBytes(), maxUnwrittenBytes)) {
                fail(CloseReason.BUFFER_LIMIT_EXCEEDED);
            } else if (buffer.unwrittenBytes() > 0) {
                connection.getSinkChannel().resumeWrites();
            } else if (gracefulClose.isActive() && state == ConnectionState.OPEN) {
                halfClose();
            }
        } catch (IOException e) {
            fail(CloseReason.IO_ERROR);
        }
    }

    /**
     * The last byte before the end of the sending is to arrive together with that end: a peer that
     * has everything might write its next command before it learns of the end. So the byte is
     * written on its own, which the system holds back while the bytes before it are not
     * acknowledged, and the end of the sending pushes both out.
     */
    private void holdBackLastByte() throws IOException {
        if (gracefulClose.isActive()
                && state == ConnectionState.OPEN
                && buffer.unwrittenBytes() > 1) {
            connection.setOption(Options.TCP_NODELAY, false);
            buffer.writeAllButLast(connection.getSinkChannel().getConduit());
        }
    }

    private boolean hasFlushWork() {
        return buffer.unwrittenBytes() > 0
                || gracefulClose.isActive()
                || awaitedUnwrittenBytes != NOT_AWAITED;
    }

    private boolean exceedsLimit(int bytes, int limit) {
        return bytes > limit || loop.bufferBudget.isExceeded() && bytes > 0;
    }

    private void halfClose() throws IOException {
        if (gracefulClose.yieldsToInput() && !isQuiet()) {
            gracefulClose.callOff();
            connection.setOption(Options.TCP_NODELAY, true); // sends what was held back
            return;
        }
        state = ConnectionState.HALF_CLOSED;
        connection.getSinkChannel().shutdownWrites();
        gracefulClose.onHalfClosed();
    }

    final void fail(CloseReason reason) {
        if (failure == null) {
            failure = reason;
        }
        submitEvents();
    }

    private void submitEvents() {
        if (!isSubmitted && !isClosed()) {
            loop.submit(this);
            isSubmitted = true; // behind the call, which may fail for lack of memory
        }
    }

    /** Passes the pending events on to the owner; called by the event loop. */
    @Override
    public final void run() {
        isSubmitted = false;
        if (takeEvent(Event.OPENED)) {
            onOpened();
            scheduleFlush();
        }
        if (takeEvent(Event.RECEIVED)) {
            received();
        }
        if (takeEvent(Event.DRAINED)) {
            onDrained();
        }
        if (failure != null) {
            close(gracefulClose.reasonOr(failure));
        }
    }

    /** An event could not be handled: nothing may wait for this connection in vain. */
    @Override
    public final void abort() {
        close(CloseReason.INTERNAL_ERROR);
    }

    private boolean takeEvent(Event event) {
        return !isClosed() && pendingEvents.remove(event);
    }

    private void received() {
        if (gracefulClose.yieldsToInput() && state == ConnectionState.OPEN) {
            gracefulClose.callOff();
        }
        if (gracefulClose.isActive()) {
            buffer.consume(buffer.unreadBytes());
            onLateInput();
        } else {
            onReceived();
        }
        if (!isClosed() && exceedsLimit(buffer.unreadBytes(), maxUnreadBytes)) {
            close(CloseReason.BUFFER_LIMIT_EXCEEDED);
        }
    }

    /**
     * {@link #onDrained} is called once when no more bytes than these are unwritten, after the end
     * of this batch at the earliest.
     */
    public final void awaitDrain(int unwrittenBytes) {
        awaitedUnwrittenBytes = unwrittenBytes;
        scheduleFlush();
    }

    /** Stops reading: what the peer sends stays in the socket's buffer. */
    protected final void suspendReads() {
        if (isOpen()) {
            isReadSuspended = true;
            connection.getSourceChannel().suspendReads();
        }
    }

    protected final void resumeReads() {
        if (isReadSuspended && !isClosed()) {
            isReadSuspended = false;
            connection.getSourceChannel().resumeReads();
        }
    }

    /**
     * Shuts down the sending once all is written, and closes the connection when the peer has shut
     * down its own. An immediate close could become a reset, by which the peer would lose the last
     * answer.
     */
    protected final void closeGracefully(CloseReason reason) {
        if (!isClosed() && !gracefulClose.isActive()) {
            gracefulClose.start(reason);
            scheduleFlush();
        }
    }

    /**
     * As {@link #closeGracefully}, but called off when input comes before the sending is shut down:
     * the owner receives it, and may call again.
     */
    protected final void closeGracefullyIfQuiet(CloseReason reason) {
        gracefulClose.setYieldsToInput();
        closeGracefully(reason);
    }

    /**
     * As {@link #closeGracefully} for a peer that may send without end: no more input is passed on,
     * and the connection is closed soon after its last line.
     */
    protected final void closeDiscardingInput(CloseReason reason) {
        gracefulClose.setDiscardsInput();
        discardInput();
        closeGracefully(reason);
        if (!isClosed()) {
            gracefulClose.shortenTimeout(reason);
        }
    }

    /** Drops all further input, read at a slow pace, until the peer closes. */
    protected final void discardInput() {
        if (isOpen() && !readAhead.isDiscarding()) {
            connection.getSourceChannel().suspendReads();
            readAhead.startDiscarding();
        }
    }

    final void discardReceived() {
        buffer.consume(buffer.unreadBytes());
        pendingEvents.remove(Event.RECEIVED);
    }

    /** Closes the connection, whatever state it is in; only the first call has an effect. */
    public final void close(CloseReason reason) {
        if (isClosed()) {
            return;
        }
        state = ConnectionState.CLOSED;
        gracefulClose.cancelTimeout();
        boolean closesAtOnce =
                connection == null
                        || reason == CloseReason.CLOSED_BY_PEER
                        || reason == CloseReason.IO_ERROR
                        || !waitsForPeerClose();
        if (closesAtOnce) {
            closeSocket();
            releaseDescriptor(); // before onClosed, which may open another connection
        } else {
            new LingeringClose(loop, connection, this::lingeringCloseEnded).start();
        }
        try {
            onClosed(reason);
        } finally {
            buffer.release();
            if (closesAtOnce) {
                onDescriptorReleased();
            }
        }
    }

    private void closeSocket() {
        if (connection != null) {
            IoUtils.safeClose(connection);
        } else if (connectAttempt != null) {
            connectAttempt.cancel();
        }
    }

    private void lingeringCloseEnded() {
        releaseDescriptor();
        onDescriptorReleased();
    }

    private void releaseDescriptor() {
        if (holdsDescriptor) {
            loop.descriptorBudget.release(party());
        }
    }
}
