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
 * One connection to a server. It carries one attempt at a time, so that giving one up costs no
 * other.
 */
final class ServerConnection extends Connection implements ResponseSource {
    private static final int MAX_UNWRITTEN_BYTES = 2 * RespReader.MAX_VALUE_BYTES;

    /** The next part of a long command is written once no more than this is unwritten. */
    private static final int WRITE_RESUME_BYTES = 8 << 10;

    /** Bytes within which a response shows that it carries a long value. */
    private static final int STREAM_HEAD_BYTES = 16;

    private static final int STREAM_BUFFER_BYTES = 16 << 10;
    private static final double STREAM_STALL_TIMEOUT_MS = 10_000;
    private static final int STREAM_CHECKS_PER_TIMEOUT = 4;
    private static final long NO_STREAM = -1;
    final PooledServer server;

    /** When it last became idle. */
    double idleSinceMs;

    /** Whether it counts among its server's connections. */
    boolean counted;

    /** Is opened once the server has seen this one's end, or null. */
    ServerConnection successor;

    private final ServerPool pool;

    /** The attempt in flight, or null. */
    private ServerAttempt attempt;

    /** Bytes of the command handed to the buffer so far. */
    private int commandOffset;

    /** Runs while a response has arrived in part. */
    private EventLoop.Timer responseTimeout;

    /** Bytes of a streamed value still to come, or {@link #NO_STREAM}. */
    private long streamRemaining = NO_STREAM;

    /** Parts of the streamed response, the value counted. */
    private int streamParts;

    /** Whether the client has had the beginning of the streamed response. */
    private boolean streamStarted;

    /** When some of the streamed response last arrived or could be passed on. */
    private double streamMovedAtMs;

    ServerConnection(ServerPool pool, PooledServer server) {
        super(pool.context.loop(), RespReader.MAX_VALUE_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.server = server;
    }

    /**
     * @param timeoutMs 0 if none is to be opened: then it fails for want of a descriptor
     */
    void connect(double timeoutMs) {
        open(server.address, timeoutMs);
    }

    /**
     * Sends the command of an attempt.
     *
     * @param timeoutMs how long the sender waits, which the server is informed of
     */
    void send(ServerAttempt next, long timeoutMs) {
        attempt = next;
        next.connection = this;
        commandOffset = next.request.command.write(buffer, timeoutMs);
        awaitWriteIfUnfinished();
        scheduleFlush();
    }

    /** A long command is written in parts, as fast as its server reads them. */
    private void awaitWriteIfUnfinished() {
        if (commandOffset < attempt.request.command.length()) {
            awaitDrain(WRITE_RESUME_BYTES);
        }
    }

    /** Whether its command is written to the last byte. */
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

    /** The request has its final answer, so the rest of its command is not sent. */
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
    protected void onOpened() {
        server.opening.remove(this);
    }

    @Override
    protected void onReceived() {
        try {
            if (streamRemaining != NO_STREAM) {
                passStreamOn();
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
            throw new ProtocolException("an answer to a command only");
        }
        if (length == 0) {
            awaitRest();
            return;
        }
        // The first successful response goes to the client straight from the read buffer.
        if (outcomeOf(reader) == AttemptOutcome.SUCCESS && !attempt.request.isFinished()) {
            attempt.request.answer(reader.bytes(), reader.offset(0), reader.length(0));
        }
        completeAttempt(reader, length);
    }

    /** The rest of a response follows at once, unless its length promises more than is sent. */
    private void awaitRest() {
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
     * Starts to stream a value that is too long to be buffered. Its server has done its work with
     * the first bytes; the rest arrives as fast as the client reads, and no time-out applies to it.
     *
     * @return false if what has arrived is not the beginning of a long value
     */
    private boolean startStreamIfLong() throws ProtocolException {
        if (attempt == null || buffer.unreadBytes() <= STREAM_HEAD_BYTES) {
            return false;
        }
        RespReader reader = pool.respReader;
        int headLength =
                reader.parseLongValueHead(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (headLength <= 0) {
            return false;
        }
        startStream(headLength, reader.longValueBytes(), reader.elementCount());
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
        streamMovedAtMs = pool.context.nowMs();
        attempt.request.setResponseSource(this);
        pool.attempts.responseStarted(attempt);
        checkStreamStalled();
        passStreamOn();
    }

    /** The client can take more, or the responses before this one are complete. */
    @Override
    public void resume() {
        streamMovedAtMs = pool.context.nowMs();
        resumeReads();
        try {
            passStreamOn();
        } catch (ProtocolException e) {
            closeAsMalformed(e);
        }
    }

    private void passStreamOn() throws ProtocolException {
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

    /** Passes on what has arrived of the value; false if it then waits for the client. */
    private boolean writeStreamPart(ForwardedRequest request) {
        int length = (int) Math.min(streamRemaining, buffer.unreadBytes());
        if (length == 0) {
            return true;
        }
        streamMovedAtMs = pool.context.nowMs();
        streamRemaining -= length;
        boolean takesMore = request.writeStreamPart(buffer.bytes(), buffer.readIndex(), length);
        buffer.consume(length);
        if (takesMore || streamRemaining == 0) {
            return true;
        }
        suspendReads();
        return false;
    }

    /** Closes a stream that stands still, which would occupy both sides' connections for good. */
    private void checkStreamStalled() {
        if (isClosed() || streamRemaining == NO_STREAM) {
            return;
        }
        if (pool.context.nowMs() - streamMovedAtMs > STREAM_STALL_TIMEOUT_MS) {
            close(CloseReason.RESPONSE_TIMEOUT);
        } else {
            loop.schedule(
                    STREAM_STALL_TIMEOUT_MS / STREAM_CHECKS_PER_TIMEOUT, this::checkStreamStalled);
        }
    }

    /**
     * Ends the attempt with what the response says beside its value.
     *
     * @param length of what the read buffer holds of the response
     */
    private void completeAttempt(RespReader reader, int length) throws ProtocolException {
        AttemptOutcome outcome = outcomeOf(reader);
        // What follows a response must not become that of the next command, nor may the rest of a
        // command that was answered early follow the next one.
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
            pool.release(this);
        } else {
            close(CloseReason.CLOSED_IDLE);
        }
        pool.attempts.attemptEnded(
                ended,
                outcome,
                1 + (int) UsageReport.value(usage, "used", -1),
                outcome == AttemptOutcome.SUCCESS ? UsageReport.value(usage, "cost", 0) : 0,
                pool.readLoadReport(load));
    }

    /** What the protocol does not know is no response: another error line may mean anything. */
    private static AttemptOutcome outcomeOf(RespReader reader) throws ProtocolException {
        if (reader.isArray()) {
            if (reader.type(0) == '$') {
                return AttemptOutcome.SUCCESS;
            }
            throw new ProtocolException("a value first");
        }
        String line = reader.type(0) == '-' ? reader.text(0) : "";
        if (line.equals("BUSY") || line.startsWith("BUSY ")) {
            return AttemptOutcome.OVERLOADED;
        }
        if (line.equals("ERR failed") || line.startsWith("ERR failed ")) {
            return AttemptOutcome.ERROR;
        }
        throw new ProtocolException("an array, -ERR failed or -BUSY");
    }

    private void clearAttempt() {
        attempt = null;
        cancelResponseTimeout();
        streamRemaining = NO_STREAM;
        streamStarted = false;
    }

    /** Where the fleet limits connections, one that its server still counts is not replaced yet. */
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
        boolean streamCut = streamStarted;
        boolean sent = isSent();
        clearAttempt();
        if (ended == null) {
            return;
        }
        ended.request.setResponseSource(null);
        if (streamCut) {
            ended.request.abortStream(reason);
        }
        pool.attempts.attemptEnded(ended, OutcomeMapping.ofAttempt(reason, sent), 0, 0, null);
    }
}
