package tinford.routing.client;

import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;

/** A client connection, whose responses are sent in the order of the commands. */
final class ClientConnection extends Connection {
    /** Time to wait for the first command; an error or a close must follow within 3 s. */
    private static final double FIRST_COMMAND_TIMEOUT_MS = 2000;

    /** Time to wait for the rest of a partial command; clients may take 2 s to send one. */
    private static final double PARTIAL_COMMAND_TIMEOUT_MS = 2300;

    /** Not reached, because {@link WriteBackpressure} stops before. */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    /**
     * Limit on the unanswered commands of a connection. Clients open another one when all are busy.
     */
    private static final int MAX_UNANSWERED_COMMANDS = 64;

    /** Response to a command that was not executed, so that the client may send it again. */
    private static final String REJECTED = "-BUSY";

    private final ClientPool pool;
    private final ResponseQueue responses;
    private final WriteBackpressure backpressure;
    private final WriteProgress writeProgress;

    /**
     * Reason for closing the connection once all commands are answered, or null to keep it open.
     */
    private CloseReason pendingClose;

    /** Size of a long command that waits for the reservation of a buffer, or 0. */
    private int awaitedBytes;

    /** Size of the buffer reserved for a long command, or 0. */
    private int reservedBytes;

    /** Remaining bytes of a command that was rejected unread, which are to be discarded. */
    private int discardBytes;

    /** Time since which a partial command has been waiting for its rest, or 0. */
    private double partialSinceMs;

    /** Whether it was accepted while this process was draining, from a client that reconnected. */
    private final boolean acceptedWhileDraining;

    private boolean commandReceived;

    /**
     * Whether a response has been written. From the second response on, the client receives the end
     * of the connection together with the response; the first response is acknowledged at once, see
     * {@link Connection}.
     */
    private boolean hasAnswered;

    private double lastUseMs;

    /** Whether no command is read until the client has accepted its responses. */
    private boolean areCommandsPaused;

    ClientConnection(ClientPool pool) {
        super(pool.context.loop(), RespReader.MAX_COMMAND_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.backpressure = new WriteBackpressure(buffer, loop.bufferBudget());
        this.responses = new ResponseQueue(pool, buffer, backpressure);
        this.lastUseMs = pool.context.nowMs();
        this.writeProgress = new WriteProgress(buffer, lastUseMs);
        this.acceptedWhileDraining = pool.isDraining();
    }

    private boolean isIdle() {
        return responses.isEmpty() && buffer.unreadBytes() == 0;
    }

    double lastUseMs() {
        return lastUseMs;
    }

    /** How active the connection is, which decides the order in which connections are reclaimed. */
    ConnectionActivity activity(double nowMs) {
        if (!isIdle() || buffer.unwrittenBytes() > 0) {
            return ConnectionActivity.BUSY;
        }
        return pendingClose != null
                ? ConnectionActivity.CLOSING
                : ConnectionActivity.ofIdle(commandReceived, nowMs - lastUseMs);
    }

    /** Whether the connection has received a command, and is now between requests. */
    boolean isIdleAfterCommand() {
        return commandReceived && isIdle();
    }

    /**
     * Whether the client has disconnected. Reads ahead on the socket to find a disconnect behind
     * unprocessed data, so that servers do not work for a client that no longer waits.
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
        // A client that has closed does not wait for answers to the commands it sent just before.
        if (isClosedOrClosing()) {
            return;
        }
        try {
            boolean more = true;
            while (more && !isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR) {
                discardRejectedCommand();
                more = discardBytes == 0 && !pauseCommandsIfCongested() && readCommand();
            }
        } catch (ProtocolException e) {
            closeWithLine("-ERR " + e.getMessage());
        }
    }

    /**
     * Reads no further command while the client does not accept its responses, so that those wait
     * with the client. The rest of a partial command is still read, within its own timeout.
     */
    private boolean pauseCommandsIfCongested() {
        if (partialSinceMs > 0 || !awaitDrainIfCongested()) {
            return false;
        }
        areCommandsPaused = true;
        suspendReadsExceptPolls();
        return true;
    }

    /** Reads the next command; returns false if none is complete. */
    private boolean readCommand() throws ProtocolException {
        RespReader reader = pool.respReader;
        int length = reader.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (length == 0) {
            trackPartialCommand(reader.requiredBytes());
            return false;
        }
        partialSinceMs = 0;
        boolean hasReservedBuffer = reservedBytes > 0;
        releaseReservation();
        try {
            if (!reader.isCommand()) {
                throw new ProtocolException("an array of bulk strings");
            }
            commandReceived = true;
            lastUseMs = pool.context.nowMs();
            handle(reader, length, hasReservedBuffer);
        } finally {
            // Only now are the command's bytes counted as held, and its buffer is free.
            pool.commandBuffers.serveWaiting();
        }
        return true;
    }

    private void trackPartialCommand(int neededBytes) {
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
     * Reserves a buffer for a long command. Until a buffer is available, the connection is not
     * read, so that the command stays with the client. If earlier requests are open, the command is
     * rejected and discarded instead, because a disconnect of the client would not be noticed on a
     * connection that is not read.
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
        discardRejectedCommand();
    }

    private void discardRejectedCommand() {
        int length = Math.min(discardBytes, buffer.unreadBytes());
        discardBytes -= length;
        buffer.consume(length);
    }

    /** Size of the buffer that the connection waits for, or 0. */
    int awaitedBytes() {
        return awaitedBytes;
    }

    /** Called when the buffer that the connection waited for has been reserved. */
    void onBufferReserved() {
        reservedBytes = awaitedBytes;
        awaitedBytes = 0;
        partialSinceMs = pool.context.nowMs();
        buffer.reserveForRead(reservedBytes);
        resumeReads();
    }

    /** Ends the reservation or the wait for one, without serving other waiting connections yet. */
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

    /**
     * Sends a line after the outstanding responses, and then closes the connection: the input
     * behind a malformed command cannot be parsed.
     */
    private void closeWithLine(String line) {
        buffer.consume(buffer.unreadBytes()); // before its reservation is passed to another
        releaseBuffer();
        answerLine(newSlot(), line);
        discardInput();
        setPendingClose(CloseReason.PROTOCOL_ERROR);
    }

    /** Enforces the timeouts for idle connections, partial commands and unread responses. */
    void checkTimeouts(double nowMs) {
        if (buffer.unwrittenBytes() > 0) {
            // The system reports a socket as writable only once a third of its buffer is free,
            // which takes long if the client reads slowly.
            scheduleFlush();
        }
        boolean malformed = pendingClose == CloseReason.PROTOCOL_ERROR;
        boolean partialTooLong = nowMs - partialSinceMs >= PARTIAL_COMMAND_TIMEOUT_MS;
        double quietMs = nowMs - lastUseMs;
        if (!malformed && awaitedBytes > 0 && partialTooLong) {
            closeWithLine(REJECTED);
        } else if (!malformed && partialSinceMs > 0 && partialTooLong) {
            long limitMs = (long) PARTIAL_COMMAND_TIMEOUT_MS;
            closeWithLine("-ERR expected a whole command within " + limitMs + " ms");
        } else if (writeProgress.isStalled(nowMs)) {
            close(CloseReason.BUFFER_LIMIT_EXCEEDED);
        } else if (pendingClose == null && isIdle() && quietMs >= idleTimeoutMs()) {
            closeIfQuiet();
        }
    }

    private double idleTimeoutMs() {
        return commandReceived ? pool.limits.idleTimeoutMs() : FIRST_COMMAND_TIMEOUT_MS;
    }

    /**
     * Closes the connection unless a response is unwritten, or a command has arrived since the
     * socket was last read. Such a command is accepted.
     *
     * @return whether the connection is closed
     */
    boolean closeIfQuiet() {
        if ((pendingClose != null || hasNoPendingInput() || isIdle())
                && buffer.unwrittenBytes() == 0) {
            close(CloseReason.CLOSED_IDLE);
        }
        return isClosed();
    }

    /**
     * @param hasReservedBuffer whether the command is a long one with a reserved buffer, which the
     *     request then takes over: a copy would need the memory twice
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
        pool.submit(request, responses.size() > MAX_UNANSWERED_COMMANDS);
    }

    /** Adds a slot for a response that does not depend on the decision module. */
    private ResponseSlot newSlot() {
        ResponseSlot slot = new ResponseSlot(null);
        responses.add(slot);
        return slot;
    }

    /** Answers with a line. The line is given without its line end. */
    void answerLine(ResponseSlot slot, String line) {
        try {
            continueAfter(responses.putLine(slot, line));
        } catch (RuntimeException | Error e) {
            closeFailed(e);
        }
    }

    /**
     * Answers with a value. The bytes are copied. If the value can't be kept until its turn, this
     * throws, and the request can still be answered otherwise.
     */
    void answerValue(ResponseSlot slot, byte[] value, int from, int length) {
        boolean isNext = isNextToAnswer(slot);
        try {
            continueAfter(responses.putValue(slot, value, from, length));
        } catch (RuntimeException | Error e) {
            if (!isNext) {
                throw e;
            }
            closeFailed(e); // a part of the value may have been written
        }
    }

    private void continueAfter(boolean isWritten) {
        if (isWritten) {
            completeResponse();
        } else {
            awaitDrainIfCongested();
        }
    }

    /** Whether all responses before a slot are complete. */
    boolean isNextToAnswer(ResponseSlot slot) {
        return slot == responses.first();
    }

    /** Starts a streamed value as the next response. */
    void startStream(long length) {
        buffer.put("$").put(length).putLineEnd();
    }

    /** Writes a part of the value; returns false if the source must wait until it is resumed. */
    boolean writeStreamPart(byte[] bytes, int from, int length) {
        buffer.put(bytes, from, length);
        scheduleFlush();
        return !awaitDrainIfCongested();
    }

    private boolean awaitDrainIfCongested() {
        boolean congested = backpressure.isActive();
        if (congested) {
            awaitDrain(backpressure.resumeBytes());
        }
        return congested;
    }

    /** Completes the streamed value. */
    void endStream() {
        responses.first().source = null;
        buffer.putLineEnd();
        completeResponse();
    }

    @Override
    protected void onDrained() {
        if (responses.writeKept()) {
            afterResponse();
        } else {
            resumeSource();
        }
        if (areCommandsPaused && !isClosed() && !backpressure.isActive()) {
            areCommandsPaused = false;
            resumeReads();
            onReceived();
        }
    }

    /** Resumes the source of the first response, or does so once the client accepts more. */
    private void resumeSource() {
        ResponseSlot first = responses.first();
        if (!awaitDrainIfCongested() && first != null && first.source != null) {
            first.source.resume();
        }
    }

    /** Called when the first response is written: continues with the next ones, or closes. */
    private void completeResponse() {
        responses.completeFirst();
        afterResponse();
    }

    private void afterResponse() {
        lastUseMs = pool.context.nowMs();
        scheduleFlush();
        resumeSource();
        boolean staysOpen = acceptedWhileDraining && !hasAnswered;
        if (pendingClose == null && !staysOpen && pool.closesAfterResponse(acceptedWhileDraining)) {
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

    /**
     * Closes the connection once all requests are answered. A request that the client sends before
     * it sees the close is not read, and the client sends it again on another connection.
     */
    void closeWhenAnswered() {
        setPendingClose(CloseReason.CLOSED_IDLE);
    }

    /**
     * Closes the connection if it has been idle for a time. A client that has just read a response
     * may be about to send a request: its connection is closed with the next response instead.
     */
    void closeIfIdleFor(double quietMs) {
        if (pendingClose == null && isIdle() && pool.context.nowMs() - lastUseMs >= quietMs) {
            closeWhenAnswered();
        }
    }

    @Override
    protected void onLateInput() {
        pool.reconnectExpected();
    }

    /** Keeps the first reason, since nothing may be read behind a malformed command. */
    private void setPendingClose(CloseReason reason) {
        if (pendingClose == null) {
            pendingClose = reason;
        }
        if (isIdle()) {
            closeIfAnswered();
        }
    }

    /** Answers all open requests and rejects a partial command, as the process is about to end. */
    void terminate() {
        responses.terminateOpenRequests();
        if (!isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR && partialSinceMs > 0) {
            closeWithLine(REJECTED);
        }
    }

    @Override
    protected void onClosed(CloseReason reason) {
        writeProgress.warnIfUnwritten(pool.context, reason);
        buffer.consume(buffer.unreadBytes());
        pool.connectionClosed(this);
        releaseBuffer();
        responses.abandon();
    }
}
