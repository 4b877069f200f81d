package tinford.routing.client;

import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;

/** One client connection: commands in, responses out in the order of the commands. */
final class ClientConnection extends Connection {
    /** Until the first command; an error or a close is due within 3 s. */
    private static final double FIRST_COMMAND_TIMEOUT_MS = 2000;

    /** For the rest of a command that has arrived in part; clients may take 2 s for one. */
    private static final double PARTIAL_COMMAND_TIMEOUT_MS = 2300;

    private static final double JUST_OPENED_MS = 250;
    private static final double READ_TIMEOUT_MS = 20_000;
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    /** Of a streamed response. */
    private static final int MAX_UNWRITTEN_STREAM_BYTES = 32 << 10;

    private static final int STREAM_RESUME_BYTES = 8 << 10;

    /** Commands of one connection that wait; a client opens another when all are busy. */
    private static final int MAX_WAITING_COMMANDS = 64;

    /** Nothing of the command was read: its client may send it again. */
    private static final String REJECTED = "-BUSY";

    private final ClientPool pool;
    private final ResponseQueue responses;

    /** Why it ends once everything is answered, or null. */
    private CloseReason pendingClose;

    /** Bytes of a long command for which no buffer is reserved yet. */
    private int awaitedBytes;

    /** Bytes reserved for a long command. */
    private int reservedBytes;

    /** Bytes still to come of a command that was rejected unread. */
    private int discardBytes;

    /** Since when a command has arrived in part, or 0. */
    private double partialSinceMs;

    /** Whether it was accepted while the process drained, for a client that had to come again. */
    private final boolean acceptedWhileDraining;

    private boolean commandSeen;

    /**
     * Whether it has had a response. From the second one on the end of the connection arrives
     * together with the response: the first one is acknowledged at once, see {@link Connection}.
     */
    private boolean hasAnswered;

    private double lastUseMs;

    ClientConnection(ClientPool pool) {
        super(pool.context.loop(), RespReader.MAX_COMMAND_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.responses = new ResponseQueue(pool, buffer);
        this.lastUseMs = pool.context.nowMs();
        this.acceptedWhileDraining = pool.isDraining();
    }

    private boolean isIdle() {
        return responses.isEmpty() && buffer.unreadBytes() == 0;
    }

    double lastUseMs() {
        return lastUseMs;
    }

    /** How active it is, for the choice of connections to close where they are scarce. */
    ConnectionActivity activity(double nowMs) {
        if (!isIdle() || buffer.unwrittenBytes() > 0) {
            return ConnectionActivity.BUSY;
        }
        if (pendingClose != null) {
            return ConnectionActivity.CLOSING;
        }
        double quietMs = nowMs - lastUseMs;
        if (commandSeen) {
            return quietMs >= FIRST_COMMAND_TIMEOUT_MS
                    ? ConnectionActivity.IDLE
                    : ConnectionActivity.RECENTLY_USED;
        }
        return quietMs >= JUST_OPENED_MS
                ? ConnectionActivity.NEVER_USED
                : ConnectionActivity.JUST_OPENED;
    }

    /** Whether a command has come on it, and no other is under way. */
    boolean isIdleAfterUse() {
        return commandSeen && isIdle();
    }

    /**
     * Whether its client has gone, looked for anew, also behind what is not read yet: servers are
     * not to work for a client that does not wait.
     */
    boolean isClientGone() {
        return pollPeerClosed();
    }

    @Override
    protected DescriptorBudget.PeerKind peerKind() {
        return DescriptorBudget.PeerKind.CLIENTS;
    }

    @Override
    protected void onOpened() {}

    @Override
    protected void onReceived() {
        // A client that has closed does not wait for what it sent right before.
        if (isClosedOrClosing()) {
            return;
        }
        try {
            boolean more = true;
            while (more && !isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR) {
                discard();
                more = discardBytes == 0 && readCommand();
            }
        } catch (ProtocolException e) {
            rejectAsMalformed(e);
        }
    }

    /** Reads the next command; false if none is complete. */
    private boolean readCommand() throws ProtocolException {
        RespReader reader = pool.respReader;
        int length = reader.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (length == 0) {
            awaitRest(reader.requiredBytes());
            return false;
        }
        partialSinceMs = 0;
        boolean hasReservedBuffer = reservedBytes > 0;
        releaseReservation();
        try {
            if (!reader.isCommand()) {
                throw new ProtocolException("an array of bulk strings");
            }
            commandSeen = true;
            lastUseMs = pool.context.nowMs();
            handle(reader, length, hasReservedBuffer);
        } finally {
            // Only now the command has its place among those held, and its buffer is free.
            pool.commandBuffers.serveWaiting();
        }
        return true;
    }

    private void awaitRest(int neededBytes) {
        if (buffer.unreadBytes() == 0) {
            partialSinceMs = 0;
        } else if (partialSinceMs == 0 || reservedBytes > 0) {
            partialSinceMs = pool.context.nowMs();
        }
        if (neededBytes > 0) {
            reserveBuffer(neededBytes);
        }
    }

    /**
     * A long command is read once a buffer is reserved for all of it; until then it stays with its
     * client. That is not so while earlier requests are open: on a connection that is not read the
     * end of their client would not be seen. The command is then rejected and passed over.
     */
    private void reserveBuffer(int bytes) {
        if (reservedBytes > 0 || awaitedBytes > 0) {
            return;
        }
        awaitedBytes = bytes;
        if (pool.commandBuffers.tryReserve(this)) {
            return;
        }
        if (responses.isEmpty()) {
            suspendReads();
            return;
        }
        releaseBuffer();
        discardBytes = bytes;
        answerLine(newSlot(), REJECTED);
        discard();
    }

    /** Frees a buffer that a long command arrived in, before its reservation goes to another. */
    private void dropUnread() {
        buffer.consume(buffer.unreadBytes());
    }

    private void discard() {
        int length = Math.min(discardBytes, buffer.unreadBytes());
        discardBytes -= length;
        buffer.consume(length);
    }

    /** Bytes for which it waits for a buffer. */
    int awaitedBytes() {
        return awaitedBytes;
    }

    /** The buffer that it waited for is reserved. */
    void onBufferReserved() {
        reservedBytes = awaitedBytes;
        awaitedBytes = 0;
        partialSinceMs = pool.context.nowMs();
        buffer.reserveForRead(reservedBytes);
        resumeReads();
    }

    /** Ends the reservation, or the wait for one; those that wait are not served yet. */
    private void releaseReservation() {
        if (reservedBytes > 0 || awaitedBytes > 0) {
            int released = reservedBytes;
            reservedBytes = 0;
            awaitedBytes = 0;
            pool.commandBuffers.release(this, released);
        }
    }

    private void releaseBuffer() {
        releaseReservation();
        pool.commandBuffers.serveWaiting();
    }

    /** What follows can't be read: one error line behind the outstanding responses, and the end. */
    private void rejectAsMalformed(ProtocolException cause) {
        closeWithLine("-ERR " + cause.getMessage());
    }

    private void closeWithLine(String line) {
        dropUnread();
        releaseBuffer();
        answerLine(newSlot(), line);
        discardInput();
        setPendingClose(CloseReason.PROTOCOL_ERROR);
    }

    /** Ends what takes room from others: connections unused, half a command, responses unread. */
    void checkTimeouts(double nowMs) {
        boolean malformed = pendingClose == CloseReason.PROTOCOL_ERROR;
        boolean partialTooLong = nowMs - partialSinceMs >= PARTIAL_COMMAND_TIMEOUT_MS;
        double quietMs = nowMs - lastUseMs;
        if (!malformed && awaitedBytes > 0 && partialTooLong) {
            closeWithLine(REJECTED);
        } else if (!malformed && partialSinceMs > 0 && partialTooLong) {
            long limitMs = (long) PARTIAL_COMMAND_TIMEOUT_MS;
            rejectAsMalformed(new ProtocolException("a whole command within " + limitMs + " ms"));
        } else if (isIdle() && buffer.unwrittenBytes() > 0 && quietMs >= READ_TIMEOUT_MS) {
            close(CloseReason.BUFFER_LIMIT_EXCEEDED);
        } else if (pendingClose == null && isIdle() && quietMs >= idleTimeoutMs()) {
            closeIfQuiet();
        }
    }

    private double idleTimeoutMs() {
        return commandSeen ? pool.limits.idleTimeoutMs() : FIRST_COMMAND_TIMEOUT_MS;
    }

    /**
     * Closes it unless a command has arrived since the sockets were last read, which then counts as
     * taken, or a response is not written yet.
     *
     * @return whether it is closed
     */
    boolean closeIfQuiet() {
        if ((pendingClose != null || hasNoPendingInput() || isIdle())
                && buffer.unwrittenBytes() == 0) {
            close(CloseReason.CLOSED_IDLE);
        }
        return isClosed();
    }

    /**
     * @param hasReservedBuffer whether the command is a long one that has arrived in a buffer of
     *     its own, which it then keeps: a copy would need its memory twice
     */
    private void handle(RespReader reader, int length, boolean hasReservedBuffer) {
        int from = buffer.readIndex();
        if (reader.elementCount() == 1 && reader.text(0).equals("PING")) {
            buffer.consume(length);
            answerLine(newSlot(), "+PONG");
            return;
        }
        ClientRequest request;
        try {
            request =
                    pool.newRequest(this, new ClientCommand(reader, buffer.bytes(), from, length));
        } catch (ProtocolException e) {
            buffer.consume(length);
            answerLine(newSlot(), "-ERR " + e.getMessage());
            return;
        }
        if (hasReservedBuffer) {
            buffer.consume(length);
            buffer.detachArray();
        } else {
            request.command.copyBytes();
            buffer.consume(length);
        }
        responses.add(request.slot);
        pool.submit(request, responses.size() > MAX_WAITING_COMMANDS);
    }

    /** A slot for a response that needs no decision. */
    private ResponseSlot newSlot() {
        ResponseSlot slot = new ResponseSlot(null);
        responses.add(slot);
        return slot;
    }

    /** Answers with one line, given without its end. */
    void answerLine(ResponseSlot slot, String line) {
        if (responses.putLine(slot, line)) {
            advance();
        }
    }

    /** Answers with a value, which is copied. */
    void answerValue(ResponseSlot slot, byte[] value, int from, int length) {
        if (responses.putValue(slot, value, from, length)) {
            advance();
        }
    }

    /** Whether all responses before this one are complete. */
    boolean isNextToAnswer(ResponseSlot slot) {
        return slot == responses.first();
    }

    /** Begins a streamed value as the next response. */
    void startStream(long length) {
        buffer.put("$").put(length).putLineEnd();
    }

    /** Writes a part of the value; false if no more fits: the source is resumed later. */
    boolean writeStreamPart(byte[] bytes, int from, int length) {
        buffer.put(bytes, from, length);
        scheduleFlush();
        int maxUnwritten = loop.bufferBudget().isNearlyExhausted() ? 0 : MAX_UNWRITTEN_STREAM_BYTES;
        if (buffer.unwrittenBytes() <= maxUnwritten) {
            return true;
        }
        awaitDrain(STREAM_RESUME_BYTES);
        return false;
    }

    /** Ends the streamed value. */
    void endStream() {
        responses.first().source = null;
        buffer.putLineEnd();
        advance();
    }

    @Override
    protected void onDrained() {
        resumeSource();
    }

    private void resumeSource() {
        ResponseSlot first = responses.first();
        if (first != null && first.source != null) {
            first.source.resume();
        }
    }

    /** The first response is written: goes on to the next ones. */
    private void advance() {
        responses.completeFirst();
        lastUseMs = pool.context.nowMs();
        scheduleFlush();
        resumeSource();
        boolean staysOpen = acceptedWhileDraining && !hasAnswered;
        if (pendingClose == null
                && !staysOpen
                && pool.closesBehindResponse(acceptedWhileDraining)) {
            pendingClose = CloseReason.CLOSED_IDLE;
        }
        hasAnswered = true;
        closeIfAnswered();
    }

    private void closeIfAnswered() {
        if (pendingClose == null || !responses.isEmpty()) {
            return;
        }
        if (pendingClose == CloseReason.PROTOCOL_ERROR) {
            closeDiscardingInput(pendingClose);
        } else if (hasNoPendingInput() || isIdle()) {
            closeGracefullyUnlessInput(pendingClose);
        }
    }

    /** Closes it between requests; its client sends once more what crosses that. */
    void closeWhenAnswered() {
        setPendingClose(CloseReason.CLOSED_IDLE);
    }

    /**
     * Closes it if it has brought nothing for that time. A client that has just read a response may
     * be about to write: its connection ends together with its next response.
     */
    void closeIfIdleFor(double quietMs) {
        if (pendingClose == null && isIdle() && pool.context.nowMs() - lastUseMs >= quietMs) {
            closeWhenAnswered();
        }
    }

    @Override
    protected void onLateInput() {
        pool.clientExpected();
    }

    /** The first reason counts: behind a malformed command nothing is to be read. */
    private void setPendingClose(CloseReason reason) {
        if (pendingClose == null) {
            pendingClose = reason;
        }
        if (isIdle()) {
            closeIfAnswered();
        }
    }

    /** The process ends: answers all open requests, and rejects a command that is incomplete. */
    void terminate() {
        for (ResponseSlot slot = responses.first(); slot != null; slot = slot.next) {
            if (slot.request != null && !slot.request.isFinished()) {
                pool.terminate(slot.request);
            }
        }
        if (!isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR && partialSinceMs > 0) {
            closeWithLine(REJECTED);
        }
    }

    @Override
    protected void onClosed(CloseReason reason) {
        dropUnread();
        pool.connectionClosed(this);
        releaseBuffer();
        for (ResponseSlot slot = responses.first(); slot != null; slot = slot.next) {
            if (slot.response != null) {
                pool.addHeldBytes(-slot.response.length);
            } else if (slot.source != null) {
                slot.source.close(CloseReason.CANCELLED);
            } else if (slot.request != null && !slot.request.isFinished()) {
                pool.clientDisconnected(slot.request);
            }
        }
        responses.clear();
    }
}
