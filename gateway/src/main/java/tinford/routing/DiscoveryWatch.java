package tinford.routing;

import com.fasterxml.jackson.core.JsonFactory;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import tinford.protocol.ChunkedLineReader;
import tinford.protocol.EndpointListLimit;
import tinford.protocol.JsonObjectSplitter;
import tinford.protocol.ProtocolException;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;
import tinford.transport.EventLoop;

/**
 * The watch on discovery. A line comes every two seconds at least; where none comes another watch
 * is opened beside the silent one, and the first to bring a line stays. Bounded: two connections.
 */
public final class DiscoveryWatch {
    private static final double SILENT =
            2600; // a line is due every 2 s: what is asked anew may well come within 6 s
    private static final double UNHEARD =
            1300; // for the first line, before another is opened; then a quarter longer each time
    // Guards against an outage whose last call is lost, and the first one behind it too: twice this
    // and the longest chance wait
    // is 5.5 s, and what discovery has counts as told 6 s after it can be reached, however the
    // calls before went.
    private static final double MOST_UNHEARD = 2000;
    private static final double AGAIN =
            200; // and what discovery has to tell counts as told within seconds, heard or not
    private static final double MOST_AGAIN = 500;
    private static final double STEADY =
            2000; // guards against one that speaks and ends at once, each time: it turns callers
    // away
    private static final int MOST_OUT = 4096;
    private static final int MOST_LIST =
            EndpointListLimit.maxBytes(Runtime.getRuntime().maxMemory());
    private final RequestDispatcher desk;
    private InetSocketAddress at;
    private final double connectWithin;
    private final ServerPool servers;
    private final JsonFactory json;
    private final Backoff again;
    private long version;
    private boolean wanted;
    private Wire wire; // the newest, or the one that speaks
    private Wire before; // silent, but it may only be slow
    private Wire fetching; // beside them, for the whole list once
    private double unheard = UNHEARD;
    private EventLoop.Timer silence;
    private EventLoop.Timer opening;
    private EventLoop.Timer steady;
    private Runnable lost = () -> {};
    private Runnable first = () -> {};

    /**
     * @param version of the list already known
     */
    public DiscoveryWatch(
            RequestDispatcher desk,
            InetSocketAddress at,
            double connectWithin,
            ServerPool servers,
            JsonFactory json,
            long version,
            RandomGenerator chance) {
        this.desk = desk;
        this.at = at;
        this.connectWithin = connectWithin;
        this.servers = servers;
        this.json = json;
        this.version = version;
        this.again = new Backoff(AGAIN, MOST_AGAIN, chance);
    }

    public void want(boolean on) {
        wanted = on;
        if (!on) {
            drop();
        } else if (wire == null && opening == null) {
            open();
        }
    }

    /** Called whenever the watch has fallen silent, or has ended without being told to. */
    public void whenLost(Runnable then) {
        lost = then;
    }

    /** Called once: when the first line has come, or after {@code most} without one. */
    public void whenFirst(double most, Runnable then) {
        first = then;
        desk.loop.schedule(most, this::first);
    }

    private void first() {
        Runnable then = first;
        first = () -> {};
        then.run();
    }

    /** From now on there; the list held, and its version, stay. */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        drop();
        want(wanted);
    }

    /** The whole list, once; one call at a time, whose end is told for all that asked meanwhile. */
    void fetch() {
        if (fetching == null) {
            Wire asked = new Wire(true);
            fetching = asked;
            desk.loop.schedule(MOST_UNHEARD, () -> asked.close(CloseReason.RESPONSE_TIMEOUT));
        }
    }

    private void open() {
        opening = null;
        Wire oldest = before;
        before = wire;
        if (oldest != null) {
            oldest.close(CloseReason.CLOSED_IDLE); // first: the new one may need its descriptor
        }
        wire = new Wire(false);
        listen(unheard);
        unheard = Math.min(MOST_UNHEARD, 1.25 * unheard);
    }

    // guards against a watch that is open and dead: only what is whole shows that it is not
    private void listen(double most) {
        stop(silence);
        silence = desk.loop.schedule(most, this::anew);
    }

    private void anew() {
        stop(silence);
        stop(steady);
        steady = null;
        if (wanted && opening == null) {
            opening = desk.loop.schedule(again.next(), this::open); // not all gateways at once
        }
        lost.run(); // last: whatever becomes of it, the next call is set
    }

    private void speaks(Wire one) {
        Wire other = one == wire ? before : wire;
        wire = one;
        before = null;
        if (other != null) {
            other.close(CloseReason.CLOSED_IDLE);
        }
        stop(opening);
        opening = null;
        if (steady == null) {
            steady = desk.loop.schedule(STEADY, again::heard);
        }
        unheard = UNHEARD;
        listen(SILENT);
        first();
    }

    private void drop() {
        stop(silence);
        stop(opening);
        stop(steady);
        opening = steady = null;
        again.heard();
        unheard = UNHEARD;
        Wire[] had = {wire, before};
        wire = before = null;
        for (Wire w : had) {
            if (w != null) {
                w.close(CloseReason.CLOSED_IDLE);
            }
        }
    }

    private static void stop(EventLoop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void list(String text) throws ProtocolException {
        try {
            JsonFields list = JsonFields.of(json, "discovery", text);
            long seq = list.integer("seq");
            if (seq < version) { // guards against a late one that puts back what was taken out
                desk.complain(
                        Level.WARNING,
                        "discovery",
                        "",
                        new ProtocolException("no list older than the one held"));
                return;
            }
            servers.list(list);
            version = seq;
        } catch (InvalidSettingsException e) {
            throw new ProtocolException(e.getMessage());
        }
    }

    private final class Wire extends Connection {
        private final ChunkedLineReader lines = new ChunkedLineReader(MOST_LIST);
        private final JsonObjectSplitter objects = new JsonObjectSplitter(json, MOST_LIST);
        private final boolean once;
        private boolean listed; // it has brought a list
        private ProtocolException bad;

        Wire(boolean once) {
            super(desk.loop, 64 << 10, MOST_OUT);
            this.once = once;
            buffer.put(
                            "GET /registry/instances"
                                    + (once ? "" : "?watch=1&after=" + version)
                                    + " HTTP/1.1\r\nHost: ")
                    .put(at.getHostString() + ":" + at.getPort())
                    .put("\r\n\r\n");
            open(at, connectWithin);
        }

        @Override
        protected DescriptorBudget.PeerKind party() {
            return DescriptorBudget.PeerKind.SERVICES;
        }

        @Override
        protected void onOpened() {}

        @Override
        protected void onReceived() {
            try {
                buffer.consume(
                        lines.read(
                                buffer.bytes(),
                                buffer.readIndex(),
                                buffer.readLimit(),
                                this::line));
                if (bad != null) {
                    throw bad;
                }
                if (lines.isComplete()) {
                    close(CloseReason.CLOSED_BY_PEER);
                }
            } catch (ProtocolException e) {
                desk.complain(Level.WARNING, "discovery", "", e);
                close(CloseReason.PROTOCOL_ERROR);
            }
        }

        private void line(String text) {
            try {
                String whole = bad == null && !isClosed() ? objects.addLine(text) : null;
                if (whole == null) {
                    return;
                }
                if (!whole.isEmpty()) {
                    list(whole);
                    listed = true;
                }
                if (!once) {
                    speaks(this);
                }
            } catch (ProtocolException e) {
                bad = e;
            }
        }

        @Override
        protected void onClosed(CloseReason how) {
            if (once) {
                fetching = null;
                if (!listed) {
                    desk.in.discoveryFailed();
                }
            } else if (before == this) {
                before = null;
            } else if (wire == this) {
                wire = before;
                before = null;
                anew();
            }
        }
    }
}
