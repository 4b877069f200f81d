package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.nio.QuickAck;

/**
 * A TCP connection that this process accepted or opened. Subclasses implement the callbacks, which
 * are invoked on the I/O thread within a batch of the event loop.
 */
public abstract class Connection implements EventLoop.Task {
    private static final int NOT_AWAITED = -1;

    /** An event that the next call of {@link #run} reports to the subclass. */
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

    /** The reason to close this connection in the next call of {@link #run}, or null. */
    private CloseReason pendingCloseReason;

    /** {@link #onDrained} is due once at most this many bytes are unwritten. */
    private int awaitedUnwrittenBytes = NOT_AWAITED;

    private boolean isSubmitted;
    private boolean isFlushScheduled;
    private boolean holdsDescriptor;
    private boolean isReadSuspended;
    private boolean mayReadAhead;

    /** How many bytes may be unread before the subclass has consumed some or allows more. */
    private int readLimitBytes = Integer.MAX_VALUE;

    private final MemoryBudget.Waiter memoryWait;

    /**
     * @param maxUnreadBytes limit for bytes received but not consumed; the connection is closed
     *     when it is exceeded
     * @param maxUnwrittenBytes the same for bytes that the peer has not accepted yet
     */
    protected Connection(EventLoop loop, int maxUnreadBytes, int maxUnwrittenBytes) {
        this.loop = loop;
        this.buffer = new ConnectionBuffer(loop.memoryBudget);
        this.gracefulClose = new GracefulClose(loop, this::close);
        this.readAhead = new ReadAhead(loop, this);
        this.maxUnreadBytes = maxUnreadBytes;
        this.memoryWait = new ExceededBudgetWait(loop.memoryBudget, this::resumeReads);
        this.maxUnwrittenBytes = maxUnwrittenBytes;
    }

    /** The kind of peer whose share of the descriptor budget this connection uses. */
    protected abstract DescriptorBudget.PeerKind peerKind();

    /** Called when a connection opened with {@link #open} is established. */
    protected abstract void onOpened();

    /** Called after bytes were received; bytes that are not consumed stay in the buffer. */
    protected abstract void onReceived();

    /** Called when input that crossed a graceful close arrives; the input is discarded. */
    protected void onLateInput() {}

    /** Called once the unwritten bytes have fallen to the limit given to {@link #awaitDrain}. */
    protected void onDrained() {}

    /** The last callback of every connection, except for {@link #onDescriptorReleased}. */
    protected abstract void onClosed(CloseReason reason);

    /**
     * Whether to keep the descriptor after a close until the peer has closed its side too, or a
     * timeout has passed.
     */
    protected boolean waitsForPeerClose() {
        return false;
    }

    /** Called when the socket is closed, after the wait for the peer's close if there is one. */
    protected void onDescriptorReleased() {}

    public final boolean isOpen() {
        return state.isOpen();
    }

    public final boolean isClosed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether the operating system has accepted every byte that was put into the buffer. */
    public final boolean isAllWritten() {
        return connection != null && buffer.unwrittenBytes() == 0;
    }

    /**
     * Starts connecting.
     *
     * @param timeoutMs the connect timeout; if it is not positive, the connection fails with {@link
     *     CloseReason#NO_DESCRIPTOR} without an attempt
     */
    protected final void open(InetSocketAddress address, double timeoutMs) {
        holdsDescriptor = timeoutMs > 0 && loop.descriptorBudget.tryAcquire(peerKind());
        if (!holdsDescriptor) {
            fail(CloseReason.NO_DESCRIPTOR);
            return;
        }
        connectAttempt = new ConnectAttempt(loop, address, timeoutMs, this);
    }

    final void onConnected(StreamConnection established) {
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
        established.getSinkChannel().setWriteListener(channel -> onWritable());
        established.getSourceChannel().resumeReads();
    }

    final void markDescriptorAcquired() {
        holdsDescriptor = true;
    }

    /** Limits the unread bytes; further input stays in the socket's receive buffer. */
    protected final void setReadLimit(int bytes) {
        readLimitBytes = bytes;
    }

    final boolean read() {
        return read(readLimitBytes);
    }

    /** Reads from the socket once, up to a limit; returns true if bytes were received. */
    final boolean read(int limitBytes) {
        try {
            int received = buffer.read(connection.getSourceChannel().getConduit(), limitBytes);
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

    /**
     * Reads from the socket once; returns true if no input is pending and the peer has not closed.
     */
    public final boolean hasNoPendingInput() {
        if (isOpen() && pendingCloseReason == null && !pendingEvents.contains(Event.RECEIVED)) {
            read();
        }
        return !isClosedOrClosing()
                && !pendingEvents.contains(Event.RECEIVED)
                && buffer.unreadBytes() == 0;
    }

    /**
     * Reads ahead, within bounds, to detect that the peer has closed or reset the connection after
     * input that is still unread.
     */
    protected final boolean pollPeerClosed() {
        readAhead.poll();
        return isClosedOrClosing();
    }

    final boolean isReadable() {
        return connection != null && (!isReadSuspended || mayReadAhead);
    }

    /**
     * Whether the connection is closed or about to be closed, because the peer closed it or it
     * failed.
     */
    protected final boolean isClosedOrClosing() {
        return isClosed() || pendingCloseReason != null;
    }

    /**
     * Acknowledges the received bytes at once, so that the peer's system does not hold back what
     * follows.
     */
    protected final void acknowledge() {
        if (!isOpen() || isClosedOrClosing()) {
            return;
        }
        try {
            QuickAck.send(connection);
        } catch (IOException e) {
            fail(CloseReason.IO_ERROR);
        }
    }

    private void onWritable() {
        connection.getSinkChannel().suspendWrites();
        try {
            flush();
        } catch (RuntimeException | Error e) {
            loop.closeFailed(this, e);
        }
    }

    /** Schedules the unwritten bytes of the buffer to be written at the end of this batch. */
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
            if (state == ConnectionState.OPEN) {
                gracefulClose.holdBackLastByte(connection, buffer);
            }
            buffer.write(connection.getSinkChannel().getConduit());
            if (buffer.unwrittenBytes() <= awaitedUnwrittenBytes) {
                awaitedUnwrittenBytes = NOT_AWAITED;
                pendingEvents.add(Event.DRAINED);
                submitEvents();
            }
            if (buffer.unwrittenBytes() > maxUnwrittenBytes) {
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

    private boolean hasFlushWork() {
        return buffer.unwrittenBytes() > 0
                || gracefulClose.isActive()
                || awaitedUnwrittenBytes != NOT_AWAITED;
    }

    private void halfClose() throws IOException {
        if (gracefulClose.isCancelledByInput() && !hasNoPendingInput()) {
            gracefulClose.cancel();
            connection.setOption(Options.TCP_NODELAY, true); // sends the byte that was held back
            return;
        }
        state = ConnectionState.HALF_CLOSED;
        connection.getSinkChannel().shutdownWrites();
        gracefulClose.onHalfClosed();
    }

    final void fail(CloseReason reason) {
        if (pendingCloseReason == null) {
            pendingCloseReason = reason;
        }
        submitEvents();
    }

    private void submitEvents() {
        if (!isSubmitted && !isClosed()) {
            loop.submit(this);
            isSubmitted = true; // only after the call, which may throw an OutOfMemoryError
        }
    }

    /** Reports the pending events to the subclass; called by the event loop. */
    @Override
    public final void run() {
        isSubmitted = false;
        if (takeEvent(Event.OPENED)) {
            onOpened();
            scheduleFlush();
        }
        if (takeEvent(Event.RECEIVED)) {
            handleReceived();
        }
        if (takeEvent(Event.DRAINED)) {
            onDrained();
        }
        if (pendingCloseReason != null) {
            close(gracefulClose.reasonOr(pendingCloseReason));
        }
    }

    /**
     * Closes the connection in the next batch, after a failure that left it in an unknown state in
     * a task of something else.
     */
    protected final void closeFailed(Throwable failure) {
        loop.closeFailed(this, failure);
    }

    /** Closes the connection after a failed event, so that nothing keeps waiting for it. */
    @Override
    public final void abort() {
        close(CloseReason.INTERNAL_ERROR);
    }

    private boolean takeEvent(Event event) {
        return !isClosed() && pendingEvents.remove(event);
    }

    private void handleReceived() {
        if (gracefulClose.isCancelledByInput() && state == ConnectionState.OPEN) {
            gracefulClose.cancel();
        }
        if (gracefulClose.isActive()) {
            buffer.consume(buffer.unreadBytes());
            onLateInput();
        } else {
            onReceived();
        }
        if (!isClosed() && buffer.unreadBytes() > maxUnreadBytes) {
            close(CloseReason.BUFFER_LIMIT_EXCEEDED);
        } else if (!isClosed() && waitsForMemory() && loop.memoryBudget.isExceeded()) {
            suspendReads();
            loop.memoryBudget.await(memoryWait);
        }
    }

    /**
     * Whether the connection is not read while the memory budget is exceeded. False if something
     * else limits what it receives.
     */
    protected boolean waitsForMemory() {
        return false;
    }

    /** Calls {@link #onReceived} again in the next batch, after the events of others. */
    protected final void continueInNextBatch() {
        pendingEvents.add(Event.RECEIVED);
        submitEvents();
    }

    /**
     * Requests one call of {@link #onDrained} when at most this many bytes are unwritten. The call
     * comes after the end of this batch at the earliest.
     */
    public final void awaitDrain(int unwrittenBytes) {
        awaitedUnwrittenBytes = unwrittenBytes;
        scheduleFlush();
    }

    /** Stops reading; further input stays in the socket's receive buffer. */
    protected final void suspendReads() {
        mayReadAhead = false;
        suspendReadEvents();
    }

    /** As {@link #suspendReads}, but {@link #pollPeerClosed} still reads ahead. */
    protected final void suspendReadsExceptPolls() {
        mayReadAhead = true;
        suspendReadEvents();
    }

    private void suspendReadEvents() {
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
     * Shuts down the sending side once all bytes are written, and closes the connection when the
     * peer has shut down its sending side too. An immediate close could reset the connection, and
     * the peer could lose the last response.
     */
    protected final void closeGracefully(CloseReason reason) {
        if (!isClosed() && !gracefulClose.isActive()) {
            gracefulClose.start(reason);
            scheduleFlush();
        }
    }

    /**
     * As {@link #closeGracefully}, but cancelled if input arrives before the sending side is shut
     * down. The input is then passed to {@link #onReceived}, and this method may be called again.
     */
    protected final void closeGracefullyUnlessInput(CloseReason reason) {
        gracefulClose.setCancelOnInput();
        closeGracefully(reason);
    }

    /**
     * As {@link #closeGracefully}, for a peer that may never stop sending: further input is
     * discarded, and the connection is closed after a short timeout.
     */
    protected final void closeDiscardingInput(CloseReason reason) {
        gracefulClose.setDiscardInput();
        discardInput();
        closeGracefully(reason);
        if (!isClosed()) {
            gracefulClose.shortenTimeout(reason);
        }
    }

    /** Discards all further input, reading it at a limited rate, until the peer closes. */
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

    /** Closes the connection in any state; only the first call has an effect. */
    public final void close(CloseReason reason) {
        if (isClosed()) {
            return;
        }
        state = ConnectionState.CLOSED;
        gracefulClose.cancelTimeout();
        loop.memoryBudget.cancelWait(memoryWait);
        boolean closesImmediately =
                connection == null
                        || reason == CloseReason.CLOSED_BY_PEER
                        || reason == CloseReason.IO_ERROR
                        || !waitsForPeerClose();
        if (closesImmediately) {
            closeSocket();
            releaseDescriptor(); // before onClosed, which may open another connection
        } else {
            new LingeringClose(loop, connection, this::onLingeringCloseEnded).start();
        }
        try {
            onClosed(reason);
        } finally {
            buffer.release();
            if (closesImmediately) {
                onDescriptorReleased();
            }
        }
    }

    private void closeSocket() {
        if (connectAttempt != null && connection == null) {
            connectAttempt.cancel();
        }
        IoUtils.safeClose(connection);
    }

    private void onLingeringCloseEnded() {
        releaseDescriptor();
        onDescriptorReleased();
    }

    private void releaseDescriptor() {
        if (holdsDescriptor) {
            loop.descriptorBudget.release(peerKind());
        }
    }
}
