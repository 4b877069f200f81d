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
 * The watch on discovery's endpoint list. Discovery sends a line at least every two seconds. If
 * none arrives, a second watch connection is opened in addition to the silent one, and the first of
 * them to send a line is kept. There are at most two watch connections, and one that fetches the
 * complete list once.
 */
public final class DiscoveryWatch {
    /**
     * Time without a line after which another watch is opened. A line is due every 2 s, and a
     * change that discovery publishes must be in force within 6 s.
     */
    private static final double LINE_TIMEOUT_MS = 2600;

    /**
     * Time to wait for the first line of a watch before another watch is opened. Each further watch
     * waits a quarter longer, until a line arrives.
     */
    private static final double FIRST_LINE_TIMEOUT_MS = 1300;

    /**
     * Twice the sum of this and the longest backoff (750 ms) is 5.5 s. So the list is up to date
     * within 6 s after discovery becomes reachable again, even if both the last call of the outage
     * and the first call after it are lost.
     */
    private static final double MAX_FIRST_LINE_TIMEOUT_MS = 2000;

    private static final double FIRST_LINE_TIMEOUT_GROWTH = 1.25;
    private static final double FETCH_TIMEOUT_MS = MAX_FIRST_LINE_TIMEOUT_MS;
    private static final double BACKOFF_FIRST_MEAN_MS = 200;
    private static final double BACKOFF_MAX_MEAN_MS = 500;

    /**
     * Time after its first line at which a watch resets the backoff. Watches that each send a line
     * and then end at once do not reset it.
     */
    private static final double STABLE_AFTER_MS = 2000;

    final RoutingContext context;
    final double connectTimeoutMs;
    final JsonFactory json;
    private final EndpointListHandler handler;
    private final Backoff backoff;
    private InetSocketAddress address;
    private long version;
    private boolean enabled;

    /** The newest watch connection, or the one that sends lines; null if none is open. */
    private DiscoveryConnection currentWatch;

    /** An older watch connection that is silent, but may only be slow, or null. */
    private DiscoveryConnection previousWatch;

    /** The connection that fetches the complete list, or null. */
    private DiscoveryConnection fetchConnection;

    private double firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
    private EventLoop.Timer lineTimer;
    private EventLoop.Timer reopenTimer;
    private EventLoop.Timer stableTimer;
    private Runnable onLost = () -> {};
    private Runnable onFirstLine = () -> {};

    /**
     * @param version version of the endpoint list already in force
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

    /** Starts or stops the watch. To be called within a batch. */
    public void setEnabled(boolean enabled) {
        this.enabled = enabled;
        if (!enabled) {
            closeAll();
        } else if (currentWatch == null && reopenTimer == null) {
            open();
        }
    }

    /** Sets a callback for each time that the watch becomes silent, or discovery ends it. */
    public void onLost(Runnable callback) {
        onLost = callback;
    }

    /** Sets a callback that is called once, at the first line or after {@code maxWaitMs}. */
    public void onFirstLine(double maxWaitMs, Runnable callback) {
        onFirstLine = callback;
        context.loop().schedule(maxWaitMs, this::runOnFirstLine);
    }

    private void runOnFirstLine() {
        Runnable callback = onFirstLine;
        onFirstLine = () -> {};
        callback.run();
    }

    /**
     * Watches discovery at another address from now on. The list in force is kept. To be called
     * within a batch.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        closeAll();
        setEnabled(enabled);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Version of the endpoint list in force. */
    long version() {
        return version;
    }

    /**
     * Fetches the complete list once. Has no effect while a fetch is in progress. To be called
     * within a batch.
     */
    public void fetch() {
        if (fetchConnection == null) {
            DiscoveryConnection call = new DiscoveryConnection(this, true);
            fetchConnection = call;
            context.loop()
                    .schedule(FETCH_TIMEOUT_MS, () -> call.close(CloseReason.RESPONSE_TIMEOUT));
        }
    }

    private void open() {
        reopenTimer = null;
        DiscoveryConnection oldest = previousWatch;
        previousWatch = currentWatch;
        // The new connection may need the descriptor of the oldest one, so close that first.
        if (oldest != null) {
            oldest.close(CloseReason.CLOSED_IDLE);
        }
        currentWatch = new DiscoveryConnection(this, false);
        startLineTimeout(firstLineTimeoutMs);
        firstLineTimeoutMs =
                Math.min(MAX_FIRST_LINE_TIMEOUT_MS, FIRST_LINE_TIMEOUT_GROWTH * firstLineTimeoutMs);
    }

    /** Restarts the timeout for the next line; only a complete line shows that a watch is alive. */
    private void startLineTimeout(double timeoutMs) {
        cancel(lineTimer);
        lineTimer = context.loop().schedule(timeoutMs, this::reopen);
    }

    /** Schedules the next watch connection after the backoff. */
    private void reopen() {
        cancel(lineTimer);
        cancel(stableTimer);
        stableTimer = null;
        if (enabled && reopenTimer == null) {
            reopenTimer = context.loop().schedule(backoff.nextWaitMs(), this::open);
        }
        // Called last, so that an exception in the callback does not prevent the next watch.
        onLost.run();
    }

    /** Called when a watch has sent a complete line: keeps it and closes the other watch. */
    void lineReceived(DiscoveryConnection sender) {
        DiscoveryConnection other = sender == currentWatch ? previousWatch : currentWatch;
        currentWatch = sender;
        previousWatch = null;
        if (other != null) {
            other.close(CloseReason.CLOSED_IDLE);
        }
        cancel(reopenTimer);
        reopenTimer = null;
        if (stableTimer == null) {
            stableTimer = context.loop().schedule(STABLE_AFTER_MS, backoff::reset);
        }
        firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
        startLineTimeout(LINE_TIMEOUT_MS);
        runOnFirstLine();
    }

    private void closeAll() {
        cancel(lineTimer);
        cancel(reopenTimer);
        cancel(stableTimer);
        reopenTimer = null;
        stableTimer = null;
        backoff.reset();
        firstLineTimeoutMs = FIRST_LINE_TIMEOUT_MS;
        DiscoveryConnection[] open = {currentWatch, previousWatch};
        currentWatch = null;
        previousWatch = null;
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
     * Applies a list, unless it is older than the one in force: an outdated list would restore
     * servers that have been removed.
     */
    void listReceived(String text) throws ProtocolException {
        try {
            JsonFields list = JsonFields.of(json, "discovery", text);
            long listVersion = list.integer("seq");
            if (listVersion < version) {
                // Without the version numbers, since warnings are rate-limited by their text.
                warnInvalid(
                        new ProtocolException("an endpoint list no older than the one in force"));
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

    /** Called when the connection that fetches the list has closed. */
    void fetchEnded(boolean listReceived) {
        fetchConnection = null;
        if (!listReceived) {
            context.events().discoveryFailed();
        }
    }

    void watchEnded(DiscoveryConnection ended) {
        if (ended == previousWatch) {
            previousWatch = null;
        } else if (ended == currentWatch) {
            currentWatch = previousWatch;
            previousWatch = null;
            reopen();
        }
    }
}
