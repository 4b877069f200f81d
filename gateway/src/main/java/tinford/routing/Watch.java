package tinford.routing;

import com.fasterxml.jackson.core.JsonFactory;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import tinford.handed.BadInput;
import tinford.handed.Fields;
import tinford.protocol.HttpLines;
import tinford.protocol.Malformed;
import tinford.transport.Ending;
import tinford.transport.Link;
import tinford.transport.Loop;

/** The watch on discovery. A line comes every two seconds at least; where none comes it is taken up anew. */
public final class Watch {
    private static final double LINE_EVERY = 2000;
    private static final double AGAIN = 200; // and what discovery has to tell counts as told within seconds, heard or not
    private static final double MOST_AGAIN = 500;
    private static final int MOST_OUT = 4096;
    private final Desk desk;
    private InetSocketAddress at;
    private final double connectWithin;
    private final Servers servers;
    private final boolean mustAsk;
    private final JsonFactory json;
    private final Again again;
    private long version;
    private boolean wanted;
    private Wire wire;
    private Runnable lost = () -> { };

    /** @param version of the list already known; {@code mustAsk}: a break is told, and the decisions ask again */
    public Watch(Desk desk, InetSocketAddress at, double connectWithin, Servers servers, boolean mustAsk,
            JsonFactory json, long version, RandomGenerator chance) {
        this.desk = desk;
        this.at = at;
        this.connectWithin = connectWithin;
        this.servers = servers;
        this.mustAsk = mustAsk;
        this.json = json;
        this.version = version;
        this.again = new Again(AGAIN, MOST_AGAIN, chance);
    }

    public void want(boolean on) {
        wanted = on;
        if (on && wire == null) {
            wire = new Wire(false);
        } else if (!on && wire != null) {
            wire.end(Ending.RETIRED);
        }
    }

    /** Called whenever the watch has ended without being told to. */
    public void whenLost(Runnable then) {
        lost = then;
    }

    /** From now on there; the list held, and its version, stay. */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        Wire old = wire;
        if (old != null) {
            wire = null;
            old.end(Ending.RETIRED);
            want(wanted);
        }
    }

    /** The whole list, once. */
    void fetch() {
        new Wire(true);
    }

    private void line(String text, boolean once) throws Malformed {
        if (text.isEmpty()) {
            return;
        }
        try {
            Fields list = Fields.of(json, "discovery", text);
            long seq = list.whole("seq");
            if (!once || seq >= version) {
                servers.list(list);
                version = seq;
            }
        } catch (BadInput e) {
            throw new Malformed(e.getMessage());
        }
    }

    private final class Wire extends Link {
        private final HttpLines lines = new HttpLines();
        private final boolean once;
        private Loop.Timer silence;

        Wire(boolean once) {
            super(desk.loop, 64 << 10, MOST_OUT);
            this.once = once;
            buf.put("GET /registry/instances" + (once ? "" : "?watch=1&after=" + version) + " HTTP/1.1\r\nHost: ")
                    .put(at.getHostString() + ":" + at.getPort()).put("\r\n\r\n");
            open(at, connectWithin);
        }

        @Override
        protected void opened() {
            listen();
        }

        // guards against a watch that is open and dead
        private void listen() {
            if (silence != null) {
                silence.cancel();
            }
            silence = loop.after(2 * LINE_EVERY, () -> end(Ending.SILENT));
        }

        @Override
        protected void received() {
            listen();
            again.heard();
            try {
                buf.take(lines.read(buf.bytes(), buf.from(), buf.to(), text -> heard(text)));
                if (bad != null) {
                    throw bad;
                }
                if (lines.done()) {
                    end(Ending.ENDED);
                }
            } catch (Malformed e) {
                desk.complain(Level.WARNING, "discovery", "", e);
                end(Ending.MALFORMED);
            }
        }

        private Malformed bad;

        private void heard(String text) {
            try {
                line(text, once);
            } catch (Malformed e) {
                bad = e;
            }
        }

        @Override
        protected void ended(Ending how) {
            if (silence != null) {
                silence.cancel();
            }
            if (once) {
                if (how != Ending.ENDED) {
                    desk.in.listRefused();
                }
                return;
            }
            if (wire != this) {
                return; // another has its place
            }
            wire = null;
            if (!wanted) {
                return;
            }
            lost.run();
            if (mustAsk) {
                wanted = false;
                desk.in.listRefused();
            } else {
                loop.after(again.next(), () -> want(wanted)); // not all gateways at once
            }
        }
    }
}
