package tinford.routing;

import java.lang.System.Logger.Level;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.api.AttemptOutcome;
import tinford.protocol.NumberParser;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/**
 * The calls on the counter, on a few connections side by side. Calls on one name go one behind
 * another on the same one, so that their answers keep the order of the calls; of a connection that
 * hangs, the others' calls know nothing. A call that was given up stays in its place until its
 * answer has come or the connection has ended.
 */
public final class CounterClient {
    private static final double MOST_KEPT = 60_000;
    private static final int MOST_ANSWER = 64; // a total has a few digits, an error few words
    private static final double HALF = 10; // milliseconds for the rest of an answer that has begun
    private final RequestDispatcher desk;
    private InetSocketAddress at;
    private final double connectWithin;
    private final double timeout;
    private final RespReader resp = new RespReader();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>(); // not told of, oldest first
    private final Lane[] lanes;
    private double answeredFrom =
            Double.NEGATIVE_INFINITY; // the latest call answered in its time was made then
    private EventLoop.Timer watch;

    private static final class Call {
        final Lane lane;
        final long name;
        final double amount;
        final double keep;
        final double at;
        boolean told;

        Call(Lane lane, long name, double amount, double keep, double at) {
            this.lane = lane;
            this.name = name;
            this.amount = amount;
            this.keep = keep;
            this.at = at;
        }
    }

    /**
     * @param abreast how many connections stand side by side
     */
    public CounterClient(
            RequestDispatcher desk,
            InetSocketAddress at,
            double connectWithin,
            double timeout,
            int abreast) {
        this.desk = desk;
        this.at = at;
        this.connectWithin = connectWithin;
        this.timeout = timeout;
        this.lanes = new Lane[abreast];
        for (int i = 0; i < abreast; i++) {
            lanes[i] = new Lane();
        }
    }

    public void connect() {
        for (Lane l : lanes) {
            l.connect();
        }
    }

    /**
     * New calls go there; those that were sent before still have their answers from where it was.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        for (Lane l : lanes) {
            l.move();
        }
    }

    void add(long name, double amount, double keep) {
        Lane lane =
                lanes[
                        Math.floorMod(
                                Long.hashCode(name * 0x9E3779B97F4A7C15L),
                                lanes.length)]; // spreads neighbours
        Call c = new Call(lane, name, amount, keep, desk.now);
        waiting.add(c);
        lane.add(c);
        if (watch == null) {
            watch();
        }
    }

    private void watch() {
        if (watch != null) {
            watch.cancel();
        }
        double next = waiting.isEmpty() ? Double.POSITIVE_INFINITY : waiting.peek().at + timeout;
        for (Lane l : lanes) {
            next = l.wire == null ? next : Math.min(next, l.wire.deadAt());
        }
        watch =
                next == Double.POSITIVE_INFINITY
                        ? null
                        : desk.loop.schedule(next - desk.now, this::giveUp);
    }

    /** The oldest call has waited long enough. */
    private void giveUp() {
        for (Lane l : lanes) {
            if (l.wire != null) {
                l.wire.look();
            }
        }
        while (!waiting.isEmpty() && desk.now - waiting.peek().at >= timeout - 0.5) {
            Call c = waiting.peek();
            tell(
                    c,
                    OutcomeMapping.ofCall(CloseReason.RESPONSE_TIMEOUT, !c.lane.unsent.remove(c)),
                    0); // it leaves no more
        }
        watch();
    }

    private void tell(Call c, AttemptOutcome how, double total) {
        if (c.told) {
            if (how == AttemptOutcome.SUCCESS) {
                desk.in.counterAnsweredLate(c.name, total);
            }
            return;
        }
        c.told = true;
        waiting.remove(c);
        if (waiting.isEmpty()) {
            watch();
        }
        c.lane.left();
        desk.in.counterAnswered(c.name, how, desk.now - c.at, total);
    }

    /** A part of the names, and their connection. */
    private final class Lane {
        private final ArrayDeque<Call> unsent = new ArrayDeque<>();
        private Wire wire;
        private Wire leaving; // to where the counter was before

        void connect() {
            if (wire == null) {
                wire = new Wire(this);
            }
        }

        void add(Call c) {
            unsent.add(c);
            connect();
            if (wire.isOpen()) {
                wire.pass();
            }
        }

        void move() {
            if (leaving != null) {
                leaving.close(CloseReason.CANCELLED); // two moves within the time of a call
            }
            leaving = wire;
            wire = null;
            connect();
            left();
        }

        /**
         * Once nothing is owed by the wire that leaves, its successor sends: answers for a name
         * keep the order of its calls.
         */
        void left() {
            if (leaving != null && !leaving.owes()) {
                leaving.close(CloseReason.CLOSED_IDLE);
            }
        }

        void ended(Wire ended, CloseReason how) {
            boolean replaced = ended == leaving;
            if (replaced) {
                leaving = null;
            } else {
                wire = null;
            }
            boolean refused =
                    how == CloseReason.CONNECT_REFUSED
                            || how == CloseReason.NO_DESCRIPTOR; // else each has its time still
            for (Call c : ended.sent) {
                tell(c, OutcomeMapping.ofCall(how, true), 0);
            }
            if (replaced) {
                if (wire != null && wire.isOpen()) {
                    wire.pass();
                }
                return;
            }
            for (Call c = refused ? unsent.poll() : null; c != null; c = unsent.poll()) {
                tell(c, OutcomeMapping.ofCall(how, false), 0);
            }
            // another is ready before the next call needs it; what ends at once is not tried faster
            // than what is silent
            if (how == CloseReason.CONNECT_TIMEOUT
                    || how == CloseReason.RESPONSE_TIMEOUT
                    || how == CloseReason.STALLED
                    || how == CloseReason.PROTOCOL_ERROR
                    || !unsent.isEmpty()) {
                connect();
            } else {
                desk.loop.schedule(connectWithin, this::connect);
            }
        }
    }

    private final class Wire extends Connection {
        private final Lane lane;
        private final ArrayDeque<Call> sent = new ArrayDeque<>();
        private double heardAt = Double.NEGATIVE_INFINITY;
        private EventLoop.Timer whole; // runs while an answer has come in part

        Wire(Lane lane) {
            super(desk.loop, 1 << 14, 1 << 18);
            this.lane = lane;
            open(at, connectWithin);
        }

        @Override
        protected DescriptorBudget.PeerKind party() {
            return DescriptorBudget.PeerKind.SERVICES;
        }

        void look() {
            double since = sent.isEmpty() ? desk.now : Math.max(sent.peek().at, heardAt);
            // guards the calls behind one whose answer never comes: the counter answers what was
            // asked later elsewhere
            if (desk.now - since >= timeout - 0.5 && answeredFrom > since) {
                close(CloseReason.STALLED);
            } else if (desk.now >= deadAt() - 0.5) {
                // guards against a connection whose other machine is gone without a word: a new one
                // finds out
                close(CloseReason.RESPONSE_TIMEOUT);
            }
        }

        void pass() {
            if (lane.leaving != null) {
                return;
            }
            for (Call c = lane.unsent.poll(); c != null; c = lane.unsent.poll()) {
                String name = Long.toString(c.name);
                String amount = number(c.amount);
                String keep =
                        Long.toString((long) Math.min(MOST_KEPT, Math.max(1, Math.ceil(c.keep))));
                buffer.put("*4\r\n$7\r\nCNT.ADD\r\n$")
                        .put(name.length())
                        .putLineEnd()
                        .put(name)
                        .putLineEnd()
                        .put("$")
                        .put(amount.length())
                        .putLineEnd()
                        .put(amount)
                        .putLineEnd()
                        .put("$")
                        .put(keep.length())
                        .putLineEnd()
                        .put(keep)
                        .putLineEnd();
                sent.add(c);
            }
            scheduleFlush();
        }

        boolean owes() {
            return sent.stream().anyMatch(c -> !c.told);
        }

        /** Nothing came for a call by then; never when none is out. */
        double deadAt() {
            return sent.isEmpty()
                    ? Double.POSITIVE_INFINITY
                    : sent.peek().at + timeout + connectWithin;
        }

        @Override
        protected void onOpened() {
            pass();
        }

        @Override
        protected void onReceived() {
            heardAt = desk.now;
            try {
                while (!isClosed()) {
                    int n = resp.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
                    if (n == 0) {
                        half();
                        return;
                    }
                    if (sent.isEmpty()) {
                        throw new ProtocolException("an answer to a call only");
                    }
                    AttemptOutcome how = kind();
                    double total =
                            how == AttemptOutcome.SUCCESS ? NumberParser.parse(resp.text(0)) : 0;
                    buffer.consume(n);
                    if (whole != null) {
                        whole.cancel();
                        whole = null;
                    }
                    Call c = sent.poll();
                    answeredFrom = c.told ? answeredFrom : Math.max(answeredFrom, c.at);
                    tell(c, how, total);
                }
            } catch (ProtocolException e) {
                desk.complain(Level.WARNING, "counter", "", e);
                close(CloseReason.PROTOCOL_ERROR);
            }
        }

        /**
         * Guards all calls behind it against an answer that begins and does not end: these come in
         * one piece.
         */
        private void half() throws ProtocolException {
            if (buffer.unreadBytes() > MOST_ANSWER) {
                throw new ProtocolException("an answer of under " + MOST_ANSWER + " bytes");
            }
            if (buffer.unreadBytes() > 0 && whole == null) {
                whole = loop.schedule(HALF, () -> close(CloseReason.PROTOCOL_ERROR));
            }
        }

        /**
         * A total that can be read is true, in whatever form; what is neither that nor known says
         * nothing.
         */
        private AttemptOutcome kind() throws ProtocolException {
            if (!resp.isArray()
                    && resp.kind(0) == '$'
                    && !Double.isNaN(NumberParser.parse(resp.text(0)))) {
                return AttemptOutcome.SUCCESS;
            }
            String line = resp.kind(0) == '-' ? resp.text(0) : "";
            if (line.equals("BUSY") || line.startsWith("BUSY ")) {
                return AttemptOutcome.OVERLOADED;
            }
            if (line.startsWith("ERR ")) {
                desk.complain(
                        Level.WARNING,
                        "counter",
                        "",
                        new ProtocolException("a total or -BUSY, not -" + line));
                return AttemptOutcome.OVERLOADED;
            }
            throw new ProtocolException("a total, -BUSY or -ERR");
        }

        @Override
        protected void onClosed(CloseReason how) {
            if (whole != null) {
                whole.cancel();
            }
            lane.ended(this, how);
        }
    }

    private static String number(double amount) {
        return amount == Math.rint(amount) && Math.abs(amount) < 1e9
                ? Long.toString((long) amount)
                : BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_EVEN).toPlainString();
    }
}
