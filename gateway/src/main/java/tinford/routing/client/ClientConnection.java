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

    /** Not reached, because {@link WriteBackpressure} stops before. */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    /**
     * Limit on the unanswered commands of a connection. Clients open another one when all are busy.
     */
    private static final int MAX_UNANSWERED_COMMANDS = 64;

    /** Response to a command that was not executed, so that the client may send it again. */
    static final String REJECTED = "-BUSY";

    static final String PONG = "+PONG";

    /** The next commands of a connection wait until other connections have had a turn. */
    private static final int MAX_COMMANDS_PER_TURN = 64;

    private final ClientPool pool;
    private final ClientMemory memory;
    private final IncomingCommand incoming;
    private final ResponseReservation reservation;
    private final ArrivalTime arrival;
    final ResponseQueue responses;
    private final WriteBackpressure backpressure;
    private final WriteProgress writeProgress;

    /**
     * Reason for closing the connection once all commands are answered, or null to keep it open.
     */
    private CloseReason pendingClose;

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

    /** Whether no command is read until responses are written or there is memory. */
    private boolean areCommandsPaused;

    ClientConnection(ClientPool pool) {
        super(pool.context.loop(), RespReader.MAX_COMMAND_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.memory = new ClientMemory(loop.memoryBudget(), buffer);
        this.incoming = new IncomingCommand(this, buffer, memory);
        this.reservation = new ResponseReservation(memory, this::resumeCommands);
        this.arrival = new ArrivalTime(pool.context);
        this.backpressure = new WriteBackpressure(buffer, loop.memoryBudget());
        this.responses = new ResponseQueue(pool, buffer, memory, backpressure);
        this.lastUseMs = pool.context.nowMs();
        this.writeProgress = new WriteProgress(buffer, lastUseMs);
        this.acceptedWhileDraining = pool.isDraining();
        setReadLimit(incoming.readLimitBytes());
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
            readCommands();
        } catch (ProtocolException e) {
            closeWithLine("-ERR " + e.getMessage());
        }
    }

    private void readCommands() throws ProtocolException {
        boolean more = true;
        int count = 0;
        while (more && !isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR) {
            if (count == MAX_COMMANDS_PER_TURN) {
                arrival.startUnread();
                continueInNextBatch();
                return;
            }
            count++;
            more = !incoming.discardRejected() && !pauseCommandsIfCongested() && readCommand();
        }
        if (arrival.mayBeUnread() && !areCommandsPaused && !incoming.awaitsMemory()) {
            endUnreadIfDrained();
        }
    }

    /** A read that just filled its room does not tell whether the socket holds more. */
    private void endUnreadIfDrained() {
        boolean isEmpty = buffer.unreadBytes() == 0;
        if (buffer.isInputDrained() || isEmpty && hasNoPendingInput()) {
            arrival.endUnread();
        }
    }

    /**
     * Reads no further command while the client does not accept its responses, or lines that are
     * kept for it take its share of the memory, so that commands wait with the client. The rest of
     * a partial command is still read, within its own timeout.
     */
    private boolean pauseCommandsIfCongested() {
        if (incoming.isPartial()) {
            return false;
        }
        boolean congested = awaitDrainIfCongested();
        if (congested || memory.budget().exceedsShare(responses.keptLineBytes())) {
            pauseCommands();
            return true;
        }
        return false;
    }

    private void pauseCommands() {
        areCommandsPaused = true;
        arrival.startUnread();
        suspendReadsExceptPolls();
    }

    private void resumeCommands() {
        if (areCommandsPaused && !isClosed() && !awaitDrainIfCongested()) {
            areCommandsPaused = false;
            resumeReads();
            continueInNextBatch();
        }
    }

    /** Reads the next command; returns false if none is complete or there is no room for it. */
    private boolean readCommand() throws ProtocolException {
        RespReader reader = pool.respReader;
        int length = reader.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (length == 0) {
            readOn(reader);
            return false;
        }
        incoming.onComplete();
        if (!reader.isCommand()) {
            throw new ProtocolException("an array of bulk strings");
        }
        if (!responses.isEmpty()
                && responses.size() < MAX_UNANSWERED_COMMANDS
                && !reservation.isAvailable(ClientMemory.requestBytes(length, true))) {
            memory.warnShort(pool.context);
            pauseCommands();
            return false;
        }
        if (responses.isEmpty()) {
            reservation.cancel();
        }
        boolean hasOwnBuffer = incoming.end();
        setReadLimit(incoming.readLimitBytes());
        commandReceived = true;
        lastUseMs = pool.context.nowMs();
        handle(reader, length, hasOwnBuffer);
        return true;
    }

    private void readOn(RespReader reader) {
        switch (incoming.onPartial(reader, responses.isEmpty(), pool.context.nowMs())) {
            case AWAIT_MEMORY -> {
                memory.warnShort(pool.context);
                arrival.startUnread();
                if (responses.isEmpty()) {
                    suspendReads();
                } else {
                    suspendReadsExceptPolls();
                }
            }
            // A disconnect of the client behind a long command would not be noticed unread.
            case REJECT -> {
                memory.warnShort(pool.context);
                answerLine(newSlot(), REJECTED);
                incoming.discardRejected();
            }
            default -> setReadLimit(incoming.readLimitBytes());
        }
    }

    /** Called when there is memory for the rest of a command. */
    void onMemoryReserved() {
        incoming.restartTimeout(pool.context.nowMs());
        setReadLimit(incoming.readLimitBytes());
        resumeReads();
    }

    /**
     * Sends a line after the outstanding responses, and then closes the connection: the input
     * behind a malformed command cannot be parsed.
     */
    private void closeWithLine(String line) {
        buffer.consume(buffer.unreadBytes()); // before its memory is passed to another
        incoming.end();
        reservation.cancel();
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
        double quietMs = nowMs - lastUseMs;
        if (!malformed && incoming.isOverdue(nowMs)) {
            long limitMs = (long) IncomingCommand.TIMEOUT_MS;
            closeWithLine(
                    incoming.awaitsMemory()
                            ? REJECTED
                            : "-ERR expected a whole command within " + limitMs + " ms");
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
     * @param hasOwnBuffer whether the buffer was enlarged for the command, which then takes it
     *     over: a copy would need the memory twice
     */
    private void handle(RespReader reader, int length, boolean hasOwnBuffer) {
        int from = buffer.readIndex();
        if (reader.elementCount() == 1 && reader.text(0).equals("PING")) {
            buffer.consume(length);
            answerLine(newSlot(), PONG);
            return;
        }
        ClientRequest request;
        try {
            ClientCommand command = new ClientCommand(reader, buffer.bytes(), from, length);
            request = pool.newRequest(this, command, arrival.earliestMs());
        } catch (ProtocolException e) {
            buffer.consume(length);
            answerLine(newSlot(), "-ERR " + e.getMessage());
            return;
        }
        submit(request, length, hasOwnBuffer);
    }

    private void submit(ClientRequest request, int length, boolean hasOwnBuffer) {
        boolean tooMany = responses.size() >= MAX_UNANSWERED_COMMANDS;
        boolean isReserved = hasOwnBuffer || !responses.isEmpty();
        int commandBytes = hasOwnBuffer ? buffer.bytes().length : length;
        long bytes = ClientMemory.requestBytes(commandBytes, !responses.isEmpty() && !tooMany);
        boolean mayForward = !tooMany && (isReserved || memory.isAvailable(bytes));
        if (hasOwnBuffer) {
            buffer.consume(length);
            buffer.detachArray();
        } else {
            request.command.copyBytes();
            buffer.consume(length);
        }
        responses.add(request.slot, bytes);
        pool.submit(request, mayForward);
    }

    /** Adds a slot for a response that does not depend on the decision module. */
    private ResponseSlot newSlot() {
        ResponseSlot slot = new ResponseSlot(null);
        responses.add(slot, 0);
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
        boolean isNext = responses.isNext(slot);
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
        } else if (!awaitDrainIfCongested()) {
            onDrained(); // keeping it has released memory, so that the client can get more again
        }
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
        resumeCommands();
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
        resumeCommands();
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
        if (!isClosed() && pendingClose != CloseReason.PROTOCOL_ERROR && incoming.isPartial()) {
            closeWithLine(REJECTED);
        }
    }

    @Override
    protected void onClosed(CloseReason reason) {
        writeProgress.warnIfUnwritten(pool.context, reason);
        buffer.consume(buffer.unreadBytes());
        pool.connectionClosed(this);
        incoming.end();
        reservation.cancel();
        responses.abandon();
        memory.releaseAll();
    }
}
