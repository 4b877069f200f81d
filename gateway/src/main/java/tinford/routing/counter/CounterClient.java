package tinford.routing.counter;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import tinford.api.AttemptOutcome;
import tinford.protocol.RespReader;
import tinford.routing.OutcomeMapping;
import tinford.routing.RoutingContext;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/**
 * A client of the shared counter that uses several parallel connections. All calls for one key use
 * the same connection, so that their responses arrive in the order of the calls; a connection that
 * hangs does not delay calls on the others. A call that has timed out keeps its place in the order
 * until its response arrives or the connection ends.
 */
public final class CounterClient {
    /** A timer may fire early by up to this time, as the event loop and batches use two clocks. */
    static final double TIMER_TOLERANCE_MS = 0.5;

    /** Distributes consecutive keys among the lanes: 2^64 divided by the golden ratio. */
    private static final long KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    final RoutingContext context;
    final double connectTimeoutMs;
    final double callTimeoutMs;
    final RespReader respReader = new RespReader();
    private final CounterLane[] lanes;

    /** Calls whose outcome has not been reported, oldest first. */
    private final ArrayDeque<IncrementCall> unreported = new ArrayDeque<>();

    private InetSocketAddress address;

    /** Time at which the latest call was made that has been answered within its timeout. */
    private double lastAnsweredCallMs = Double.NEGATIVE_INFINITY;

    private EventLoop.Timer timeoutCheck;

    /**
     * @param callTimeoutMs time after which a call is reported as timed out
     * @param connections number of parallel connections
     */
    public CounterClient(
            RoutingContext context,
            InetSocketAddress address,
            double connectTimeoutMs,
            double callTimeoutMs,
            int connections) {
        this.context = context;
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
        this.callTimeoutMs = callTimeoutMs;
        this.lanes = new CounterLane[connections];
        for (int i = 0; i < connections; i++) {
            lanes[i] = new CounterLane(this);
        }
    }

    /** Opens the connections ahead of the first calls. To be called within a batch. */
    public void connect() {
        for (CounterLane lane : lanes) {
            lane.connect();
        }
    }

    /**
     * Sends new calls to another address. Responses to calls that were sent before are still
     * received from the old address. To be called within a batch.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        for (CounterLane lane : lanes) {
            lane.reconnect();
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Increments a key, which the counter then keeps for the TTL. To be called within a batch. */
    public void increment(long counterKey, double amount, double ttlMs) {
        int index = Math.floorMod(Long.hashCode(counterKey * KEY_MULTIPLIER), lanes.length);
        CounterLane lane = lanes[index];
        IncrementCall call = new IncrementCall(lane, counterKey, amount, ttlMs, context.nowMs());
        unreported.add(call);
        lane.add(call);
        if (timeoutCheck == null) {
            scheduleTimeoutCheck();
        }
    }

    private void scheduleTimeoutCheck() {
        if (timeoutCheck != null) {
            timeoutCheck.cancel();
        }
        double nextMs =
                unreported.isEmpty()
                        ? Double.POSITIVE_INFINITY
                        : unreported.peek().createdAtMs + callTimeoutMs;
        for (CounterLane lane : lanes) {
            nextMs = Math.min(nextMs, lane.silentAtMs());
        }
        timeoutCheck =
                nextMs == Double.POSITIVE_INFINITY
                        ? null
                        : context.loop().schedule(nextMs - context.nowMs(), this::checkTimeouts);
    }

    private void checkTimeouts() {
        for (CounterLane lane : lanes) {
            lane.closeIfStalled();
        }
        double nowMs = context.nowMs();
        while (!unreported.isEmpty()
                && nowMs - unreported.peek().createdAtMs >= callTimeoutMs - TIMER_TOLERANCE_MS) {
            IncrementCall call = unreported.peek();
            boolean sent = !call.lane.removeUnsent(call);
            report(call, OutcomeMapping.ofCounterCall(CloseReason.RESPONSE_TIMEOUT, sent), 0);
        }
        scheduleTimeoutCheck();
    }

    /**
     * Reports the outcome of a call. For a call that was reported before, only a total is reported,
     * as a late answer.
     */
    void report(IncrementCall call, AttemptOutcome outcome, double total) {
        if (call.reported) {
            if (outcome == AttemptOutcome.SUCCESS) {
                context.events().counterAnsweredLate(call.counterKey, total);
            }
            return;
        }
        call.reported = true;
        unreported.remove(call);
        if (unreported.isEmpty()) {
            scheduleTimeoutCheck();
        }
        call.lane.closeOldIfAllReported();
        double tookMs = context.nowMs() - call.createdAtMs;
        context.events().counterAnswered(call.counterKey, outcome, tookMs, total);
    }

    /** Called when the response to a call has arrived, in time or late. */
    void responseArrived(IncrementCall call) {
        if (!call.reported) {
            lastAnsweredCallMs = Math.max(lastAnsweredCallMs, call.createdAtMs);
        }
    }

    /** Whether a call made after a time has been answered within its timeout, on any connection. */
    boolean hasAnsweredCallSince(double timeMs) {
        return lastAnsweredCallMs > timeMs;
    }
}
