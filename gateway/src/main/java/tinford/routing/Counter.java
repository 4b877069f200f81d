package tinford.routing;

import java.lang.System.Logger.Level;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.api.End;
import tinford.protocol.Malformed;
import tinford.protocol.Numbers;
import tinford.protocol.Resp;
import tinford.transport.Ending;
import tinford.transport.Link;
import tinford.transport.Loop;

/**
 * The calls on the counter, one behind another on one connection, so that their answers keep the order of the calls. A
 * call that was given up stays in its place until its answer has come or the connection has ended.
 */
public final class Counter {
    private static final double MOST_KEPT = 60_000;
    private static final int MOST_ANSWER = 64; // a total has a few digits, an error few words
    private static final double HALF = 10; // milliseconds for the rest of an answer that has begun
    private final Desk desk;
    private InetSocketAddress at;
    private final double connectWithin;
    private final double timeout;
    private final Resp resp = new Resp();
    private final ArrayDeque<Call> unsent = new ArrayDeque<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>(); // not told of, oldest first
    private Wire wire;
    private Wire leaving; // to where the counter was before
    private Loop.Timer watch;

    private static final class Call {
        final long name;
        final double amount;
        final double keep;
        final double at;
        boolean told;

        Call(long name, double amount, double keep, double at) {
            this.name = name;
            this.amount = amount;
            this.keep = keep;
            this.at = at;
        }
    }

    public Counter(Desk desk, InetSocketAddress at, double connectWithin, double timeout) {
        this.desk = desk;
        this.at = at;
        this.connectWithin = connectWithin;
        this.timeout = timeout;
    }

    public void connect() {
        if (wire == null) {
            wire = new Wire();
        }
    }

    /** New calls go there; those that were sent before still have their answers from where it was. */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        if (leaving != null) {
            leaving.end(Ending.DROPPED); // two moves within the time of a call
        }
        leaving = wire;
        wire = null;
        connect();
        left();
    }

    /** Once nothing is owed by the wire that leaves, its successor sends: answers for a name keep the order of its calls. */
    private void left() {
        if (leaving != null && !leaving.owes()) {
            leaving.end(Ending.RETIRED);
        }
    }

    void add(long name, double amount, double keep) {
        Call c = new Call(name, amount, keep, desk.now);
        unsent.add(c);
        waiting.add(c);
        connect();
        if (wire.up()) {
            wire.pass();
        }
        if (watch == null) {
            watch();
        }
    }

    private void watch() {
        if (watch != null) {
            watch.cancel();
        }
        double next = !waiting.isEmpty() ? waiting.peek().at + timeout : wire != null ? wire.deadAt() : Double.NaN;
        watch = Double.isNaN(next) ? null : desk.loop.after(next - desk.now, this::giveUp);
    }

    /** The oldest call has waited long enough. */
    private void giveUp() {
        while (!waiting.isEmpty() && desk.now - waiting.peek().at >= timeout - 0.5) {
            Call c = waiting.peek();
            tell(c, Ends.ofCall(Ending.SILENT, !unsent.remove(c)), 0); // it leaves no more
        }
        // guards against a connection whose other machine is gone without a word: a new one finds out
        if (wire != null && desk.now >= wire.deadAt() - 0.5) {
            wire.end(Ending.SILENT);
        }
        watch();
    }

    private void tell(Call c, End how, double total) {
        if (c.told) {
            if (how == End.GOOD) {
                desk.in.countedLate(c.name, total);
            }
            return;
        }
        c.told = true;
        waiting.remove(c);
        if (waiting.isEmpty()) {
            watch();
        }
        left();
        desk.in.counted(c.name, how, desk.now - c.at, total);
    }

    private final class Wire extends Link {
        private final ArrayDeque<Call> sent = new ArrayDeque<>();
        private Loop.Timer whole; // runs while an answer has come in part

        Wire() {
            super(desk.loop, 1 << 16, 1 << 20);
            open(at, connectWithin);
        }

        void pass() {
            if (leaving != null) {
                return;
            }
            for (Call c = unsent.poll(); c != null; c = unsent.poll()) {
                String name = Long.toString(c.name);
                String amount = number(c.amount);
                String keep = Long.toString((long) Math.min(MOST_KEPT, Math.max(1, Math.ceil(c.keep))));
                buf.put("*4\r\n$7\r\nCNT.ADD\r\n$").put(name.length()).line().put(name).line().put("$")
                        .put(amount.length()).line().put(amount).line().put("$").put(keep.length()).line().put(keep)
                        .line();
                sent.add(c);
            }
            send();
        }

        boolean owes() {
            return sent.stream().anyMatch(c -> !c.told);
        }

        /** Nothing came for a call by then: not a number when none is out. */
        double deadAt() {
            return sent.isEmpty() ? Double.NaN : sent.peek().at + timeout + connectWithin;
        }

        @Override
        protected void opened() {
            pass();
        }

        @Override
        protected void received() {
            try {
                while (!over()) {
                    int n = resp.parse(buf.bytes(), buf.from(), buf.to());
                    if (n == 0) {
                        half();
                        return;
                    }
                    if (sent.isEmpty()) {
                        throw new Malformed("an answer to a call only");
                    }
                    End how = kind();
                    double total = how == End.GOOD ? Numbers.real(resp.text(0)) : 0;
                    buf.take(n);
                    if (whole != null) {
                        whole.cancel();
                        whole = null;
                    }
                    tell(sent.poll(), how, total);
                }
            } catch (Malformed e) {
                desk.complain(Level.WARNING, "counter", "", e);
                end(Ending.MALFORMED);
            }
        }

        /** Guards all calls behind it against an answer that begins and does not end: these come in one piece. */
        private void half() throws Malformed {
            if (buf.unread() > MOST_ANSWER) {
                throw new Malformed("an answer of under " + MOST_ANSWER + " bytes");
            }
            if (buf.unread() > 0 && whole == null) {
                whole = loop.after(HALF, () -> end(Ending.MALFORMED));
            }
        }

        /** A total that can be read is true, in whatever form; what is neither that nor known says nothing. */
        private End kind() throws Malformed {
            if (!resp.array() && resp.kind(0) == '$' && !Double.isNaN(Numbers.real(resp.text(0)))) {
                return End.GOOD;
            }
            String line = resp.kind(0) == '-' ? resp.text(0) : "";
            if (line.equals("BUSY") || line.startsWith("BUSY ")) {
                return End.FULL;
            }
            if (line.startsWith("ERR ")) {
                desk.complain(Level.WARNING, "counter", "", new Malformed("a total or -BUSY, not -" + line));
                return End.FULL;
            }
            throw new Malformed("a total, -BUSY or -ERR");
        }

        @Override
        protected void ended(Ending how) {
            boolean replaced = this == leaving;
            if (replaced) {
                leaving = null;
            } else {
                wire = null;
            }
            boolean refused = how == Ending.REFUSED || how == Ending.NO_ROOM; // else each has its time still
            if (whole != null) {
                whole.cancel();
            }
            for (Call c : sent) {
                tell(c, Ends.ofCall(how, true), 0);
            }
            if (replaced) {
                if (wire != null && wire.up()) {
                    wire.pass();
                }
                return;
            }
            for (Call c = refused ? unsent.poll() : null; c != null; c = unsent.poll()) {
                tell(c, Ends.ofCall(how, false), 0);
            }
            // another is ready before the next call needs it; what ends at once is not tried faster than what is silent
            if (how == Ending.NEVER_UP || how == Ending.SILENT || how == Ending.MALFORMED || !unsent.isEmpty()) {
                connect();
            } else {
                desk.loop.after(connectWithin, Counter.this::connect);
            }
        }
    }

    private static String number(double amount) {
        return amount == Math.rint(amount) && Math.abs(amount) < 1e9 ? Long.toString((long) amount)
                : BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_EVEN).toPlainString();
    }
}
