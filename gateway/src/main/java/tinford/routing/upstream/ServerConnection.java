package tinford.routing.upstream;

import tinford.api.AttemptOutcome;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.protocol.UsageReport;
import tinford.routing.OutcomeMapping;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/**
 * A connection to a server. It carries one attempt at a time, because an attempt is cancelled by
 * closing its connection, which must not affect other attempts.
 */
final class ServerConnection extends Connection implements ResponseSource {
    private static final int MAX_UNWRITTEN_BYTES = 2 * RespReader.MAX_VALUE_BYTES;

    /** The next part of a long command is written once at most this many bytes are unwritten. */
    private static final int WRITE_RESUME_BYTES = 8 << 10;

    private static final int STREAM_BUFFER_BYTES = 16 << 10;
    private static final double STREAM_CHECK_INTERVAL_MS = 2500;

    /** A stream that makes no progress between this many checks in a row is closed. */
    private static final int MAX_CHECKS_WITHOUT_PROGRESS = 4;

    private static final long NO_STREAM = -1;
    final PooledServer server;

    /** Time at which the connection last became idle. */
    double idleSinceMs;

    /** Whether the connection is included in {@link PooledServer#connectionCount}. */
    boolean counted;

    /** Connection to be opened once the server has seen this one close, or null. */
    ServerConnection successor;

    private final ServerPool pool;

    /** The attempt in flight, or null. */
    private ServerAttempt attempt;

    /** Number of command bytes copied to the write buffer so far. */
    private int commandOffset;

    /** Active while a response has been received only in part. */
    private EventLoop.Timer responseTimeout;

    /** Bytes of the streamed value that have not been forwarded, or {@link #NO_STREAM}. */
    private long streamRemaining = NO_STREAM;

    /** Number of elements in the streamed response, including the value. */
    private int streamParts;

    /** Whether the beginning of the streamed response has been written to the client. */
    private boolean streamStarted;

    /** The next check for progress while a value is streamed, or null. */
    private EventLoop.Timer streamCheck;

    /** Checks in a row that found no progress of the stream. */
    private int checksWithoutProgress;

    ServerConnection(ServerPool pool, PooledServer server) {
        super(pool.context.loop(), RespReader.MAX_VALUE_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.server = server;
    }

    /**
     * @param timeoutMs 0 to open no connection, and to fail with {@link CloseReason#NO_DESCRIPTOR}
     */
    void connect(double timeoutMs) {
        open(server.address, timeoutMs);
    }

    /**
     * Sends the command of an attempt.
     *
     * @param timeoutMs how long the gateway waits for the response; sent to the server
     */
    void send(ServerAttempt next, long timeoutMs) {
        attempt = next;
        next.connection = this;
        commandOffset = next.request.command.write(buffer, timeoutMs);
        awaitWriteIfUnfinished();
        scheduleFlush();
    }

    /** Arranges for the next part of a long command to be written once the server reads on. */
    private void awaitWriteIfUnfinished() {
        if (commandOffset < attempt.request.command.length()) {
            awaitDrain(WRITE_RESUME_BYTES);
        }
    }

    /** Whether the last byte of the command has been written. */
    boolean isSent() {
        return attempt != null
                && commandOffset >= attempt.request.command.length()
                && isAllWritten();
    }

    @Override
    protected void onDrained() {
        if (attempt == null) {
            return;
        }
        if (attempt.request.isFinished()) {
            endUnfinishedWrite();
            return;
        }
        commandOffset = attempt.request.command.write(buffer, commandOffset);
        awaitWriteIfUnfinished();
        scheduleFlush();
    }

    /** Closes the connection if the rest of its command is no longer needed. */
    private void endUnfinishedWrite() {
        if (!isSent() && streamRemaining == NO_STREAM) {
            close(CloseReason.CANCELLED);
        }
    }

    @Override
    protected DescriptorBudget.PeerKind peerKind() {
        return DescriptorBudget.PeerKind.SERVERS;
    }

    @Override
    protected boolean waitsForMemory() {
        return true;
    }

    @Override
    protected void onOpened() {
        server.openingConnections.remove(this);
    }

    @Override
    protected void onReceived() {
        try {
            if (streamRemaining != NO_STREAM) {
                forwardStream();
            } else if (!startStreamIfLong()) {
                readResponse();
            }
        } catch (ProtocolException e) {
            closeAsMalformed(e);
        }
    }

    private void closeAsMalformed(ProtocolException cause) {
        pool.context.warn("invalid response from server", "server=" + server.id, cause);
        close(CloseReason.PROTOCOL_ERROR);
    }

    private void readResponse() throws ProtocolException {
        RespReader reader = pool.respReader;
        int length = reader.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (attempt == null) {
            throw new ProtocolException("no data while no command is in flight");
        }
        if (length == 0) {
            acknowledge(); // the server's system may hold back the rest
            startResponseTimeout();
            return;
        }
        // The first successful response is copied to the client directly from the read buffer.
        if (outcomeOf(reader) == AttemptOutcome.SUCCESS && !attempt.request.isFinished()) {
            attempt.request.answer(reader.bytes(), reader.offset(0), reader.length(0));
        }
        completeAttempt(reader, length);
    }

    /**
     * Limits the wait for the rest of a response. The rest follows at once, unless the response
     * states a greater length than is sent.
     */
    private void startResponseTimeout() {
        cancelResponseTimeout();
        responseTimeout =
                loop.schedule(pool.connectTimeoutMs, () -> close(CloseReason.PROTOCOL_ERROR));
    }

    private void cancelResponseTimeout() {
        if (responseTimeout != null) {
            responseTimeout.cancel();
            responseTimeout = null;
        }
    }

    /**
     * Starts to stream a value that is too long to be buffered. The server has executed the request
     * when the first bytes arrive. The rest is read no faster than the client accepts it, so the
     * attempt's timeout does not apply.
     *
     * @return false if the received bytes are not the beginning of a long value
     */
    private boolean startStreamIfLong() throws ProtocolException {
        if (attempt == null) {
            return false;
        }
        RespReader reader = pool.respReader;
        int headLength =
                reader.parseValueHead(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (headLength == 0 || !reader.isLongValue()) {
            return false;
        }
        startStream(headLength, reader.valueBytes(), reader.elementCount());
        return true;
    }

    private void startStream(int headLength, long valueLength, int parts) throws ProtocolException {
        cancelResponseTimeout();
        if (attempt.request.isFinished()) {
            close(CloseReason.CANCELLED);
            return;
        }
        buffer.consume(headLength);
        buffer.setMaxReadBytes(STREAM_BUFFER_BYTES);
        streamRemaining = valueLength;
        streamParts = parts;
        checksWithoutProgress = 0;
        attempt.request.setResponseSource(this);
        pool.attemptListener.responseStarted(attempt);
        scheduleStreamCheck();
        forwardStream();
    }

    /** Called when the client can accept more, or when all earlier responses are complete. */
    @Override
    public void resume() {
        checksWithoutProgress = 0;
        resumeReads();
        try {
            forwardStream();
        } catch (ProtocolException e) {
            closeAsMalformed(e);
        }
    }

    private void forwardStream() throws ProtocolException {
        ForwardedRequest request = attempt.request;
        if (!request.isNextToAnswer()) {
            suspendReads();
            return;
        }
        if (!streamStarted) {
            streamStarted = true;
            request.startStream(streamRemaining);
        }
        if (!writeStreamPart(request) || streamRemaining > 0) {
            return;
        }
        RespReader reader = pool.respReader;
        int tailLength =
                reader.parseAfterLongValue(
                        streamParts, buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (tailLength > 0) {
            streamRemaining = NO_STREAM;
            request.setResponseSource(null);
            buffer.setMaxReadBytes(0);
            request.endStream();
            completeAttempt(reader, tailLength);
        }
    }

    /** Forwards the received part of the value; returns false if it must wait for the client. */
    private boolean writeStreamPart(ForwardedRequest request) {
        int length = (int) Math.min(streamRemaining, buffer.unreadBytes());
        if (length == 0) {
            return true;
        }
        checksWithoutProgress = 0;
        streamRemaining -= length;
        boolean canAcceptMore = request.writeStreamPart(buffer.bytes(), buffer.readIndex(), length);
        buffer.consume(length);
        if (canAcceptMore || streamRemaining == 0) {
            return true;
        }
        suspendReads();
        return false;
    }

    private void scheduleStreamCheck() {
        streamCheck = loop.schedule(STREAM_CHECK_INTERVAL_MS, this::checkStreamStalled);
    }

    /**
     * Closes a stalled stream, which would otherwise occupy two connections indefinitely. A stream
     * that waits for earlier responses is not stalled: its connection is not read until its turn
     * comes, and the response before it is checked itself.
     */
    private void checkStreamStalled() {
        checksWithoutProgress = attempt.request.isNextToAnswer() ? checksWithoutProgress + 1 : 0;
        if (checksWithoutProgress > MAX_CHECKS_WITHOUT_PROGRESS) {
            close(CloseReason.RESPONSE_TIMEOUT);
        } else {
            scheduleStreamCheck();
        }
    }

    /**
     * Ends the attempt with the outcome and the reports in the response.
     *
     * @param length number of bytes of the response in the read buffer
     */
    private void completeAttempt(RespReader reader, int length) throws ProtocolException {
        AttemptOutcome outcome = outcomeOf(reader);
        // Bytes behind the response must not be taken for the response to the next command, and
        // the unsent rest of a command that was answered early must not precede the next command.
        boolean reusable = buffer.unreadBytes() == length && isSent();
        String usage;
        String load;
        if (outcome == AttemptOutcome.SUCCESS) {
            usage = reader.elementCount() > 1 ? reader.text(1) : "";
            load = reader.elementCount() > 2 ? reader.text(2) : "";
        } else {
            String[] words = reader.text(0).split(" ");
            usage = words.length > 2 ? words[2] : "";
            load = words[words.length - 1];
        }
        ServerAttempt ended = attempt;
        buffer.consume(length);
        clearAttempt();
        if (reusable) {
            // What the server has written behind the response arrives now, and not with the next
            // command's response.
            acknowledge();
            pool.release(this);
        } else {
            close(CloseReason.CLOSED_IDLE);
        }
        pool.attemptListener.attemptEnded(
                ended,
                outcome,
                1 + (int) UsageReport.value(usage, "used", -1),
                outcome == AttemptOutcome.SUCCESS ? UsageReport.value(usage, "cost", 0) : 0,
                pool.readLoadReport(load));
    }

    /** Rejects other error lines than those of the protocol, whose meaning is unknown. */
    private static AttemptOutcome outcomeOf(RespReader reader) throws ProtocolException {
        if (reader.isArray()) {
            if (reader.type(0) == '$') {
                return AttemptOutcome.SUCCESS;
            }
            throw new ProtocolException("an array that starts with a bulk string");
        }
        String line = reader.type(0) == '-' ? reader.text(0) : "";
        if (line.equals("BUSY") || line.startsWith("BUSY ")) {
            return AttemptOutcome.OVERLOADED;
        }
        if (line.equals("ERR failed") || line.startsWith("ERR failed ")) {
            return AttemptOutcome.ERROR;
        }
        throw new ProtocolException("an array, -ERR failed or -BUSY as the response");
    }

    private void clearAttempt() {
        attempt = null;
        cancelResponseTimeout();
        cancelStreamCheck();
        streamRemaining = NO_STREAM;
        streamStarted = false;
    }

    private void cancelStreamCheck() {
        if (streamCheck != null) {
            streamCheck.cancel();
            streamCheck = null;
        }
    }

    /**
     * If the fleet limits connections, a closed connection counts against the limit until the
     * server has seen the close.
     */
    @Override
    protected boolean waitsForPeerClose() {
        return pool.context.fleetPolicy().connectionLimit(server) < Integer.MAX_VALUE;
    }

    @Override
    protected void onDescriptorReleased() {
        pool.descriptorReleased(this);
    }

    @Override
    protected void onClosed(CloseReason reason) {
        pool.connectionClosed(this, reason);
        ServerAttempt ended = attempt;
        boolean hasStream = streamRemaining != NO_STREAM;
        boolean isForwarded = streamStarted;
        if (hasStream && reason != CloseReason.CANCELLED) {
            pool.context.warn("response interrupted", "server=" + server.id, interruption(reason));
        }
        boolean sent = isSent();
        clearAttempt();
        if (ended == null) {
            return;
        }
        if (hasStream) {
            endInterruptedStream(ended.request, isForwarded, reason);
        }
        pool.attemptListener.attemptEnded(
                ended, OutcomeMapping.ofAttempt(reason, sent), 0, 0, null);
    }

    /** Gives the request a final answer, as no other attempt will: its response had started. */
    private static void endInterruptedStream(
            ForwardedRequest request, boolean isForwarded, CloseReason reason) {
        request.setResponseSource(null);
        if (isForwarded) {
            request.abortStream(reason);
        } else {
            request.answerAborted();
        }
    }

    private static ProtocolException interruption(CloseReason reason) {
        return new ProtocolException("the rest of a streamed response, not " + reason);
    }
}
