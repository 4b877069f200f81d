package tinford.routing;

import java.lang.System.Logger.Level;
import tinford.api.AttemptOutcome;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.protocol.UsageReport;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/**
 * One connection to a server. It carries one dispatch at a time, so that giving one up costs no
 * other.
 */
final class ServerConnection extends Connection {
    private static final int MOST_OUT = 2 * RespReader.MAX_VALUE_BYTES;
    private static final int LEAST_OUT = 8 << 10;
    private static final int LEAST_LONG = 16; // bytes that tell the length of a long value
    private static final int PIECE = 16 << 10;
    private static final double STILL = 10_000;
    final PooledServer backend;
    private final ServerPool servers;
    private ServerAttempt dispatch;
    private int put; // of the command, for writing
    private EventLoop.Timer whole; // runs while an answer has come in part
    private long toFlow = -1; // bytes of a long value still to be passed on; -1 when none flows
    private int partsToCome; // of that answer, with the value
    private boolean flows; // its client has had the beginning
    private double movedAt; // when some of it last came or left
    double idleSince;
    boolean counts; // among its server's connections
    ServerConnection next; // is opened in its place

    ServerConnection(RequestDispatcher desk, ServerPool servers, PooledServer backend) {
        super(desk.loop, RespReader.MAX_VALUE_BYTES, MOST_OUT);
        this.servers = servers;
        this.backend = backend;
    }

    void connect(double within) {
        open(backend.dial, within);
    }

    void carry(ServerAttempt d, long patience) {
        dispatch = d;
        d.link = this;
        put = d.exchange.ask.write(buffer, patience);
        more();
        scheduleFlush();
    }

    /** A long command leaves in pieces, as its server reads them. */
    private void more() {
        if (put < dispatch.exchange.ask.length()) {
            awaitDrain(LEAST_OUT);
        }
    }

    /** Its command has left to the last byte. */
    boolean left() {
        return dispatch != null && put >= dispatch.exchange.ask.length() && isAllWritten();
    }

    @Override
    protected void onDrained() {
        if (dispatch != null) {
            put = dispatch.exchange.ask.write(buffer, put);
            more();
            scheduleFlush();
        }
    }

    @Override
    protected DescriptorBudget.PeerKind party() {
        return DescriptorBudget.PeerKind.SERVERS;
    }

    @Override
    protected void onOpened() {
        backend.opening.remove(this);
    }

    @Override
    protected void onReceived() {
        RespReader resp = servers.resp;
        try {
            if (toFlow >= 0) {
                flow();
                return;
            }
            if (dispatch != null && buffer.unreadBytes() > LEAST_LONG) {
                int head =
                        resp.parseLongValueHead(
                                buffer.bytes(), buffer.readIndex(), buffer.readLimit());
                if (head > 0) {
                    begin(head, resp.longValueBytes(), resp.partCount());
                    return;
                }
            }
            int n = resp.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
            if (dispatch == null) {
                throw new ProtocolException("an answer to a command only");
            }
            if (n == 0) {
                // guards against lengths that promise more than comes: the rest of an answer is on
                // its way with it
                stop(whole);
                whole =
                        loop.schedule(
                                servers.connectWithin, () -> close(CloseReason.PROTOCOL_ERROR));
                return;
            }
            answer(resp, n);
        } catch (ProtocolException e) {
            servers.desk.complain(Level.WARNING, "server", backend.id, e);
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    /**
     * A value too long to be held: it is passed on as it comes, and its server has done its work
     * with the first bytes. What follows is slow or quick as its client reads, and nobody's
     * patience counts for it any more.
     */
    private void begin(int head, long value, int parts) throws ProtocolException {
        ServerAttempt d = dispatch;
        stop(whole);
        whole = null;
        if (d.exchange.over) { // nobody waits for it
            close(CloseReason.CANCELLED);
            return;
        }
        buffer.consume(head);
        buffer.setMaxReadBytes(PIECE);
        toFlow = value;
        partsToCome = parts;
        movedAt = servers.desk.now;
        d.exchange.slot.source = this;
        servers.desk.began(d);
        lookAtFlow();
        flow();
    }

    /** Its client has room again, or the answers before it are out. */
    void goOn() {
        movedAt = servers.desk.now;
        resumeReads();
        try {
            flow();
        } catch (ProtocolException e) {
            servers.desk.complain(Level.WARNING, "server", backend.id, e);
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void flow() throws ProtocolException {
        ClientRequest e = dispatch.exchange;
        if (!e.client.front(e.slot)) {
            suspendReads();
            return;
        }
        if (!flows) {
            flows = true;
            e.client.flow(e.slot, toFlow, this);
        }
        int n = (int) Math.min(toFlow, buffer.unreadBytes());
        if (n > 0) {
            movedAt = servers.desk.now;
            toFlow -= n;
            boolean more = e.client.piece(buffer.bytes(), buffer.readIndex(), n);
            buffer.consume(n);
            if (!more && toFlow > 0) {
                suspendReads();
                return;
            }
        }
        if (toFlow > 0) {
            return;
        }
        RespReader resp = servers.resp;
        int rest =
                resp.parseAfterLongValue(
                        partsToCome, buffer.bytes(), buffer.readIndex(), buffer.readLimit());
        if (rest > 0) {
            toFlow = -1;
            e.slot.source = null;
            buffer.setMaxReadBytes(0);
            e.client.flown();
            answered(resp, rest);
        }
    }

    /** Guards both sides' connections against a flow that stands still for good. */
    private void lookAtFlow() {
        if (isClosed() || toFlow < 0) {
            return;
        }
        if (servers.desk.now - movedAt > STILL) {
            close(CloseReason.RESPONSE_TIMEOUT);
        } else {
            loop.schedule(STILL / 4, this::lookAtFlow);
        }
    }

    private static void stop(EventLoop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void answer(RespReader resp, int n) throws ProtocolException {
        ServerAttempt d = dispatch;
        if (kind(resp) == AttemptOutcome.SUCCESS) {
            // the first good answer goes to the client as it lies here
            if (!d.exchange.over) {
                d.exchange.client.value(
                        d.exchange.slot, resp.bytes(), resp.offset(0), resp.length(0));
            }
        }
        answered(resp, n);
    }

    /**
     * The figures beside an answer, which fills so many bytes of the buffer; the connection may be
     * free again.
     */
    private void answered(RespReader resp, int n) throws ProtocolException {
        ServerAttempt d = dispatch;
        RequestDispatcher desk = servers.desk;
        AttemptOutcome how = kind(resp);
        // guards against a second copy or noise behind a good answer: it must not become the answer
        // of the next command
        boolean clean =
                buffer.unreadBytes() == n
                        && left(); // nor may the rest of a command that was answered early
        String used;
        String load;
        if (how == AttemptOutcome.SUCCESS) {
            used = resp.partCount() > 1 ? resp.text(1) : "";
            load = resp.partCount() > 2 ? resp.text(2) : "";
        } else {
            String[] words = resp.text(0).split(" ");
            load = words[words.length - 1];
            used = words.length > 2 ? words[2] : "";
        }
        buffer.consume(n);
        settle();
        if (clean) {
            servers.free(this);
        } else {
            close(CloseReason.CLOSED_IDLE);
        }
        desk.ended(
                d,
                how,
                1 + (int) UsageReport.value(used, "used", -1),
                how == AttemptOutcome.SUCCESS ? UsageReport.value(used, "cost", 0) : 0,
                servers.report(load));
    }

    /** Only what the protocol knows is an answer; any other error line may stand for anything. */
    private static AttemptOutcome kind(RespReader resp) throws ProtocolException {
        if (resp.isArray()) {
            if (resp.kind(0) == '$') {
                return AttemptOutcome.SUCCESS;
            }
            throw new ProtocolException("a value first");
        }
        String line = resp.kind(0) == '-' ? resp.text(0) : "";
        if (line.equals("BUSY") || line.startsWith("BUSY ")) {
            return AttemptOutcome.OVERLOADED;
        }
        if (line.equals("ERR failed") || line.startsWith("ERR failed ")) {
            return AttemptOutcome.ERROR;
        }
        throw new ProtocolException("an array, -ERR failed or -BUSY");
    }

    private void settle() {
        dispatch = null;
        stop(whole);
        whole = null;
        toFlow = -1;
        flows = false;
    }

    /**
     * Where a fleet shares a server's connections, one that it still counts must not be given on.
     */
    @Override
    protected boolean waitsForPeerClose() {
        return servers.desk.view.connectionLimit(backend) < Integer.MAX_VALUE;
    }

    @Override
    protected void onDescriptorReleased() {
        servers.closed(this);
    }

    @Override
    protected void onClosed(CloseReason how) {
        servers.gone(this, how);
        ServerAttempt d = dispatch;
        boolean cut = flows;
        boolean left = left();
        settle();
        if (d != null) {
            d.exchange.slot.source = null;
            if (cut) {
                d.exchange.client.close(
                        how); // it has had a part: only an end tells it that no more comes
            }
            servers.desk.ended(d, OutcomeMapping.ofDispatch(how, left), 0, 0, null);
        }
    }
}
