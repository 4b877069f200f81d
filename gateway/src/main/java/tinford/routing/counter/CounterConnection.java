package tinford.routing.counter;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.api.AttemptOutcome;
import tinford.protocol.NumberParser;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.routing.OutcomeMapping;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.ConnectionBuffer;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/** A connection to the shared counter, whose responses arrive in the order of the calls. */
final class CounterConnection extends Connection {
    private static final int MAX_UNREAD_BYTES = 1 << 14;
    private static final int MAX_UNWRITTEN_BYTES = 1 << 18;

    /** Longest response that is accepted: a total has a few digits, an error a few words. */
    private static final int MAX_RESPONSE_BYTES = 64;

    private static final double PARTIAL_RESPONSE_TIMEOUT_MS = 10;
    private static final double MAX_TTL_MS = 60_000;
    private static final int AMOUNT_DECIMALS = 6;
    private static final double MAX_PLAIN_INTEGER = 1e9;
    private static final String COMMAND_PREFIX = "*4\r\n$7\r\nCNT.ADD\r\n";
    private final CounterClient client;
    private final CounterLane lane;
    private final InetSocketAddress address;

    /** Calls that have been sent but not answered, oldest first. */
    private final ArrayDeque<IncrementCall> unanswered = new ArrayDeque<>();

    private double lastReceivedMs = Double.NEGATIVE_INFINITY;

    /** Active while a response has been received only in part. */
    private EventLoop.Timer partialTimeout;

    CounterConnection(CounterClient client, CounterLane lane) {
        super(client.context.loop(), MAX_UNREAD_BYTES, MAX_UNWRITTEN_BYTES);
        this.client = client;
        this.lane = lane;
        this.address = client.address();
        open(address, client.connectTimeoutMs);
    }

    @Override
    protected DescriptorBudget.PeerKind peerKind() {
        return DescriptorBudget.PeerKind.SERVICES;
    }

    @Override
    protected void onOpened() {
        sendCalls();
    }

    /** Sends the unsent calls of its lane. */
    void sendCalls() {
        for (IncrementCall call = lane.pollUnsent(); call != null; call = lane.pollUnsent()) {
            writeCommand(call);
            unanswered.add(call);
        }
        scheduleFlush();
    }

    private void writeCommand(IncrementCall call) {
        double ttlMs = Math.min(MAX_TTL_MS, Math.max(1, Math.ceil(call.ttlMs)));
        buffer.put(COMMAND_PREFIX);
        writeBulkString(buffer, Long.toString(call.counterKey));
        writeBulkString(buffer, formatAmount(call.amount));
        writeBulkString(buffer, Long.toString((long) ttlMs));
    }

    private static void writeBulkString(ConnectionBuffer to, String text) {
        to.put("$").put(text.length()).putLineEnd().put(text).putLineEnd();
    }

    private static String formatAmount(double amount) {
        if (amount == Math.rint(amount) && Math.abs(amount) < MAX_PLAIN_INTEGER) {
            return Long.toString((long) amount);
        }
        return BigDecimal.valueOf(amount)
                .setScale(AMOUNT_DECIMALS, RoundingMode.HALF_EVEN)
                .toPlainString();
    }

    /** Whether a call was sent on this connection whose outcome has not been reported. */
    boolean hasUnreportedCalls() {
        return unanswered.stream().anyMatch(call -> !call.reported);
    }

    void reportUnansweredCalls(CloseReason reason) {
        AttemptOutcome outcome = OutcomeMapping.ofCounterCall(reason, true);
        for (IncrementCall call : unanswered) {
            client.report(call, outcome, 0);
        }
    }

    /** Time after which the connection counts as silent; infinite while no response is due. */
    double silentAtMs() {
        return unanswered.isEmpty()
                ? Double.POSITIVE_INFINITY
                : unanswered.peek().createdAtMs + client.callTimeoutMs + client.connectTimeoutMs;
    }

    /**
     * Closes the connection if a response is overdue although the counter has answered later calls
     * on other connections, or if the connection is silent: the counter's machine may be down,
     * which only an attempt to connect can show.
     */
    void closeIfStalled() {
        double nowMs = client.context.nowMs();
        double sinceMs =
                unanswered.isEmpty()
                        ? nowMs
                        : Math.max(unanswered.peek().createdAtMs, lastReceivedMs);
        boolean overdue =
                nowMs - sinceMs >= client.callTimeoutMs - CounterClient.TIMER_TOLERANCE_MS;
        if (overdue && client.hasAnsweredCallSince(sinceMs)) {
            close(CloseReason.STALLED);
        } else if (nowMs >= silentAtMs() - CounterClient.TIMER_TOLERANCE_MS) {
            close(CloseReason.RESPONSE_TIMEOUT);
        }
    }

    @Override
    protected void onReceived() {
        lastReceivedMs = client.context.nowMs();
        try {
            boolean more = true;
            while (more && !isClosed()) {
                more = readResponse();
            }
        } catch (ProtocolException e) {
            warnInvalid(e);
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void warnInvalid(ProtocolException cause) {
        client.context.warn("invalid response from counter", "counter=" + address, cause);
    }

    /** Reads the next response; returns false if none is complete. */
    private boolean readResponse() throws ProtocolException {
        RespReader reader = client.respReader;
        int length = reader.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (length == 0) {
            checkPartialResponse();
            return false;
        }
        if (unanswered.isEmpty()) {
            throw new ProtocolException("no data while no call is outstanding");
        }
        AttemptOutcome outcome = outcomeOf(reader);
        double total = outcome == AttemptOutcome.SUCCESS ? NumberParser.parse(reader.text(0)) : 0;
        buffer.consume(length);
        cancelPartialTimeout();
        IncrementCall call = unanswered.poll();
        client.responseArrived(call);
        client.report(call, outcome, total);
        return true;
    }

    /** Limits the size and time of an incomplete response, so that it does not block later ones. */
    private void checkPartialResponse() throws ProtocolException {
        if (buffer.unreadBytes() > MAX_RESPONSE_BYTES) {
            throw new ProtocolException("a response of at most " + MAX_RESPONSE_BYTES + " bytes");
        }
        if (buffer.unreadBytes() > 0 && partialTimeout == null) {
            acknowledge(); // the counter's system may hold back the rest
            partialTimeout =
                    loop.schedule(
                            PARTIAL_RESPONSE_TIMEOUT_MS, () -> close(CloseReason.PROTOCOL_ERROR));
        }
    }

    private void cancelPartialTimeout() {
        if (partialTimeout != null) {
            partialTimeout.cancel();
            partialTimeout = null;
        }
    }

    /**
     * Accepts a total in any number format; rejects responses that the protocol does not define.
     */
    private AttemptOutcome outcomeOf(RespReader reader) throws ProtocolException {
        if (!reader.isArray()
                && reader.type(0) == '$'
                && !Double.isNaN(NumberParser.parse(reader.text(0)))) {
            return AttemptOutcome.SUCCESS;
        }
        String line = reader.type(0) == '-' ? reader.text(0) : "";
        if (line.equals("BUSY") || line.startsWith("BUSY ")) {
            return AttemptOutcome.OVERLOADED;
        }
        if (line.startsWith("ERR ")) {
            warnInvalid(new ProtocolException("a total or -BUSY as the response, not -" + line));
            return AttemptOutcome.OVERLOADED;
        }
        throw new ProtocolException("a total, -BUSY or -ERR as the response");
    }

    @Override
    protected void onClosed(CloseReason reason) {
        cancelPartialTimeout();
        lane.connectionEnded(this, reason);
    }
}
