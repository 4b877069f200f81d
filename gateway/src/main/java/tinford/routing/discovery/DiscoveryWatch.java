package tinford.routing.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import tinford.protocol.ProtocolException;
import tinford.routing.RoutingContext;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/**
 * The watch on discovery's endpoint list. Discovery sends a line every two seconds at least. When
 * none arrives, a second watch is opened beside the silent one, and the first to send a line is
 * kept: there are two connections at most, besides one that fetches the list once.
 */
public final class DiscoveryWatch {
    /** A watch event published anew must be seen within 6 s; a line is due every 2 s. */
    private static final double LINE_TIMEOUT_MS = 2600;

    /** For the first line, before another watch is opened; then a quarter longer each time. */
    private static final double FIRST_LINE_TIMEOUT_MS = 1300;

    /**
     * Twice this and the longest backoff is 5.5 s. So the list is current 6 s after discovery can
     * be reached again, even if the last call of an outage and the first one after it are lost.
     */
    private static final double MAX_FIRST_LINE_TIMEOUT_MS = 2000;

    private static final double FIRST_LINE_TIMEOUT_GROWTH = 1.25;
    private static final double FETCH_TIMEOUT_MS = MAX_FIRST_LINE_TIMEOUT_MS;
    private static final double BACKOFF_FIRST_MEAN_MS = 200;
    private static final double BACKOFF_MAX_MEAN_MS = 500;

    /** A watch that sends a line and ends at once, each time, does not reset the backoff. */
    private static final double STABLE_AFTER_MS = 2000;

    final RoutingContext context;
    final double connectTimeoutMs;
    final JsonFactory json;
    private final EndpointListHandler handler;
    private final Backoff backoff;
    private InetSocketAddress address;
    private long version;
    private boolean wanted;

    /** The newest watch, or the one that sends lines. */
    private DiscoveryConnection current;

    /** Silent so far, though it may only be slow, or null. */
    private DiscoveryConnection previous;

    /** Fetches the full list once beside the watches, or null. */
    private DiscoveryConnection fetching;

    private double firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
    private EventLoop.Timer lineTimeout;
    private EventLoop.Timer reopening;
    private EventLoop.Timer stableTimer;
    private Runnable onLost = () -> {};
    private Runnable onFirstLine = () -> {};

    /**
     * @param version of the endpoint list already in force
     */
    public DiscoveryWatch(
            RoutingContext context,
            InetSocketAddress address,
            double connectTimeoutMs,
            EndpointListHandler handler,
            JsonFactory json,
            long version,
            RandomGenerator random) {
        this.context = context;
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
        this.handler = handler;
        this.json = json;
        this.version = version;
        this.backoff = new Backoff(BACKOFF_FIRST_MEAN_MS, BACKOFF_MAX_MEAN_MS, random);
    }

    /** Within a batch: starts the watch, or ends it. */
    public void setWanted(boolean wanted) {
        this.wanted = wanted;
        if (!wanted) {
            closeAll();
        } else if (current == null && reopening == null) {
            open();
        }
    }

    /** Sets what is called each time the watch has fallen silent or was ended by discovery. */
    public void onLost(Runnable callback) {
        onLost = callback;
    }

    /** Sets what is called once, at the first line or after {@code maxWaitMs} without one. */
    public void onFirstLine(double maxWaitMs, Runnable callback) {
        onFirstLine = callback;
        context.loop().schedule(maxWaitMs, this::runOnFirstLine);
    }

    private void runOnFirstLine() {
        Runnable callback = onFirstLine;
        onFirstLine = () -> {};
        callback.run();
    }

    /** Within a batch: watches at that address from now on; the list in force stays. */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        closeAll();
        setWanted(wanted);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Version of the list in force. */
    long version() {
        return version;
    }

    /**
     * Within a batch: fetches the full list once. There is one such call at a time; a request for
     * another one while it runs is served by it.
     */
    public void fetch() {
        if (fetching == null) {
            DiscoveryConnection call = new DiscoveryConnection(this, true);
            fetching = call;
            context.loop()
                    .schedule(FETCH_TIMEOUT_MS, () -> call.close(CloseReason.RESPONSE_TIMEOUT));
        }
    }

    private void open() {
        reopening = null;
        DiscoveryConnection oldest = previous;
        previous = current;
        // Closed first: the new one may need its descriptor.
        if (oldest != null) {
            oldest.close(CloseReason.CLOSED_IDLE);
        }
        current = new DiscoveryConnection(this, false);
        startLineTimeout(firstLineTimeoutMs);
        firstLineTimeoutMs =
                Math.min(MAX_FIRST_LINE_TIMEOUT_MS, FIRST_LINE_TIMEOUT_GROWTH * firstLineTimeoutMs);
    }

    /** Only a complete line shows that a watch is alive. */
    private void startLineTimeout(double timeoutMs) {
        cancel(lineTimeout);
        lineTimeout = context.loop().schedule(timeoutMs, this::reopen);
    }

    /** Opens the next watch after the backoff. */
    private void reopen() {
        cancel(lineTimeout);
        cancel(stableTimer);
        stableTimer = null;
        if (wanted && reopening == null) {
            reopening = context.loop().schedule(backoff.nextWaitMs(), this::open);
        }
        // Last: a fault in it must not keep the next watch from being opened.
        onLost.run();
    }

    /** A watch has sent a complete line: it is kept, the other one closed. */
    void lineReceived(DiscoveryConnection alive) {
        DiscoveryConnection other = alive == current ? previous : current;
        current = alive;
        previous = null;
        if (other != null) {
            other.close(CloseReason.CLOSED_IDLE);
        }
        cancel(reopening);
        reopening = null;
        if (stableTimer == null) {
            stableTimer = context.loop().schedule(STABLE_AFTER_MS, backoff::reset);
        }
        firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
        startLineTimeout(LINE_TIMEOUT_MS);
        runOnFirstLine();
    }

    private void closeAll() {
        cancel(lineTimeout);
        cancel(reopening);
        cancel(stableTimer);
        reopening = null;
        stableTimer = null;
        backoff.reset();
        firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
        DiscoveryConnection[] open = {current, previous};
        current = null;
        previous = null;
        for (DiscoveryConnection connection : open) {
            if (connection != null) {
                connection.close(CloseReason.CLOSED_IDLE);
            }
        }
    }

    private static void cancel(EventLoop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    /**
     * Brings a list into force, unless it is older than the one in force: a late one would restore
     * servers that are gone.
     */
    void listReceived(String text) throws ProtocolException {
        try {
            JsonFields list = JsonFields.of(json, "discovery", text);
            long listVersion = list.integer("seq");
            if (listVersion < version) {
                warnInvalid(new ProtocolException("no list older than the one held"));
                return;
            }
            handler.updateEndpoints(list);
            version = listVersion;
        } catch (InvalidSettingsException e) {
            throw new ProtocolException(e.getMessage());
        }
    }

    void warnInvalid(ProtocolException cause) {
        context.warn("invalid response from discovery", "discovery=" + address, cause);
    }

    /** The call that fetches the list has ended. */
    void fetchEnded(boolean listReceived) {
        fetching = null;
        if (!listReceived) {
            context.events().discoveryFailed();
        }
    }

    void watchEnded(DiscoveryConnection ended) {
        if (ended == previous) {
            previous = null;
        } else if (ended == current) {
            current = previous;
            previous = null;
            reopen();
        }
    }
}
