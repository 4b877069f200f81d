package tinford.routing.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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

    private final ClientPool pool;
    private final ResponseQueue responses = new ResponseQueue();

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

    private boolean commandSeen;
    private double lastUseMs;

    ClientConnection(ClientPool pool) {
        super(pool.context.loop(), RespReader.MAX_COMMAND_BYTES, MAX_UNWRITTEN_BYTES);
        this.pool = pool;
        this.lastUseMs = pool.context.nowMs();
    }

    private boolean isIdle() {
        return responses.isEmpty() && buf.unread() == 0;
    }

    double lastUseMs() {
        return lastUseMs;
    }

    /** How active it is, for the choice of connections to close where they are scarce. */
    ConnectionActivity activity(double nowMs) {
        if (!isIdle() || buf.unwritten() > 0) {
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
    boolean isBetweenRequests() {
        return commandSeen && isIdle();
    }

    /**
     * Whether its client has gone, looked for anew, also behind what is not read yet: servers are
     * not to work for a client that does not wait.
     */
    boolean isClientGone() {
        return ends();
    }

    @Override
    protected DescriptorBudget.Party party() {
        return DescriptorBudget.Party.CLIENTS;
    }

    @Override
    protected void onOpened() {}

    @Override
    protected void onReceived() {
        // A client that has closed does not wait for what it sent right before.
        if (endSeen()) {
            return;
        }
        try {
            boolean more = true;
            while (more && !isClosed() && pendingClose != CloseReason.MALFORMED) {
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
        int length = reader.parse(buf.bytes(), buf.readIndex(), buf.readLimit());
        if (length == 0) {
            awaitRest(reader.needs());
            return false;
        }
        partialSinceMs = 0;
        releaseBuffer();
        if (!reader.command()) {
            throw new ProtocolException("an array of bulk strings");
        }
        commandSeen = true;
        lastUseMs = pool.context.nowMs();
        handle(reader, length);
        return true;
    }

    private void awaitRest(int neededBytes) {
        if (buf.unread() == 0) {
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
            hold();
            return;
        }
        releaseBuffer();
        discardBytes = bytes;
        answerLine(newSlot(), "-BUSY");
        discard();
    }

    private void discard() {
        int length = Math.min(discardBytes, buf.unread());
        discardBytes -= length;
        buf.consume(length);
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
        buf.expect(reservedBytes);
        release();
    }

    private void releaseBuffer() {
        if (reservedBytes > 0 || awaitedBytes > 0) {
            int released = reservedBytes;
            reservedBytes = 0;
            awaitedBytes = 0;
            pool.commandBuffers.release(this, released);
        }
    }

    /** What follows can't be read: one error line behind the responses still owed, and the end. */
    private void rejectAsMalformed(ProtocolException cause) {
        closeWithLine("-ERR " + cause.getMessage());
    }

    /** Nothing of a command that has arrived in part is read: its client may send it again. */
    private void rejectUnread() {
        closeWithLine("-BUSY");
    }

    private void closeWithLine(String line) {
        releaseBuffer();
        answerLine(newSlot(), line);
        deaf();
        setPendingClose(CloseReason.MALFORMED);
    }

    /** Ends what takes room from others: connections unused, half a command, responses unread. */
    void checkTimeouts(double nowMs) {
        boolean malformed = pendingClose == CloseReason.MALFORMED;
        boolean partialTooLong = nowMs - partialSinceMs >= PARTIAL_COMMAND_TIMEOUT_MS;
        double quietMs = nowMs - lastUseMs;
        if (!malformed && awaitedBytes > 0 && partialTooLong) {
            rejectUnread();
        } else if (!malformed && partialSinceMs > 0 && partialTooLong) {
            long limitMs = (long) PARTIAL_COMMAND_TIMEOUT_MS;
            rejectAsMalformed(new ProtocolException("a whole command within " + limitMs + " ms"));
        } else if (isIdle() && buf.unwritten() > 0 && quietMs >= READ_TIMEOUT_MS) {
            close(CloseReason.OVERFULL);
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
        if ((pendingClose != null || isQuiet() || isIdle()) && buf.unwritten() == 0) {
            close(CloseReason.RETIRED);
        }
        return isClosed();
    }

    private void handle(RespReader reader, int length) {
        int from = buf.readIndex();
        if (reader.parts() == 1 && reader.text(0).equals("PING")) {
            buf.consume(length);
            answerLine(newSlot(), "+PONG");
            return;
        }
        ClientRequest request;
        try {
            request = pool.newRequest(this, new ClientCommand(reader, buf.bytes(), from, length));
        } catch (ProtocolException e) {
            buf.consume(length);
            answerLine(newSlot(), "-ERR " + e.getMessage());
            return;
        }
        buf.consume(length);
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
        if (isNextToAnswer(slot)) {
            buf.put(line).putLineEnd();
            advance();
        } else {
            keep(slot, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Answers with a value, which is copied. */
    void answerValue(ResponseSlot slot, byte[] value, int from, int length) {
        if (isNextToAnswer(slot)) {
            buf.put("$").put(length).putLineEnd().put(value, from, length).putLineEnd();
            advance();
        } else {
            keep(slot, encodeValue(value, from, length));
        }
    }

    private static byte[] encodeValue(byte[] value, int from, int length) {
        byte[] head = ("$" + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] encoded = Arrays.copyOf(head, head.length + length + 2);
        System.arraycopy(value, from, encoded, head.length, length);
        encoded[head.length + length] = '\r';
        encoded[head.length + length + 1] = '\n';
        return encoded;
    }

    /** Whether all responses before this one are complete. */
    boolean isNextToAnswer(ResponseSlot slot) {
        return slot == responses.first();
    }

    /** Begins a streamed value as the next response. */
    void startStream(long length) {
        buf.put("$").put(length).putLineEnd();
    }

    /** Writes a part of the value; false if no more fits: the source then hears when to go on. */
    boolean writeStreamPart(byte[] bytes, int from, int length) {
        buf.put(bytes, from, length);
        send();
        int maxUnwritten = loop.bufferBudget().isNearlyExhausted() ? 0 : MAX_UNWRITTEN_STREAM_BYTES;
        if (buf.unwritten() <= maxUnwritten) {
            return true;
        }
        awaitDrain(STREAM_RESUME_BYTES);
        return false;
    }

    /** Ends the streamed value. */
    void endStream() {
        responses.first().source = null;
        buf.putLineEnd();
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

    private void keep(ResponseSlot slot, byte[] response) {
        slot.response = response;
        pool.addHeldBytes(response.length);
    }

    /** The first response is written: goes on to the next ones. */
    private void advance() {
        responses.removeFirst();
        writeKeptResponses();
        lastUseMs = pool.context.nowMs();
        send();
        resumeSource();
        // A client that has just read a response is not about to write.
        if (pool.isDraining() && pendingClose == null) {
            pendingClose = CloseReason.RETIRED;
        }
        closeIfAnswered();
    }

    private void writeKeptResponses() {
        ResponseSlot first = responses.first();
        while (first != null && first.response != null) {
            buf.put(first.response, 0, first.response.length);
            pool.addHeldBytes(-first.response.length);
            responses.removeFirst();
            first = responses.first();
        }
    }

    private void closeIfAnswered() {
        if (pendingClose == null || !responses.isEmpty()) {
            return;
        }
        if (pendingClose == CloseReason.MALFORMED) {
            dismiss(pendingClose);
        } else if (isQuiet() || isIdle()) {
            finishIfQuiet(pendingClose);
        }
    }

    /** Closes it between requests; its client sends once more what crosses that. */
    void closeWhenAnswered() {
        setPendingClose(CloseReason.RETIRED);
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
        if (!isClosed() && pendingClose != CloseReason.MALFORMED && partialSinceMs > 0) {
            rejectUnread();
        }
    }

    @Override
    protected void onEnded(CloseReason reason) {
        pool.connectionClosed(this);
        releaseBuffer();
        for (ResponseSlot slot = responses.first(); slot != null; slot = slot.next) {
            if (slot.response != null) {
                pool.addHeldBytes(-slot.response.length);
            } else if (slot.source != null) {
                slot.source.close(CloseReason.DROPPED);
            } else if (slot.request != null && !slot.request.isFinished()) {
                pool.clientDisconnected(slot.request);
            }
        }
        responses.clear();
    }
}
