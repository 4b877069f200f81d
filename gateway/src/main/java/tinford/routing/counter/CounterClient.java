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
 * Calls on the shared counter, over a few parallel connections. All calls on one key use the same
 * connection, so that their responses keep the order of the calls; one that hangs does not delay
 * the calls on the others. A call that timed out keeps its place until its response has come or the
 * connection has ended.
 */
public final class CounterClient {
    /** A timer may run out this much early, as the loop's clock and the batch's differ. */
    static final double TIMER_TOLERANCE_MS = 0.5;

    /** Spreads neighbouring keys over the lanes: 2^64 divided by the golden ratio. */
    private static final long KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    final RoutingContext context;
    final double connectTimeoutMs;
    final double callTimeoutMs;
    final RespReader respReader = new RespReader();
    private final CounterLane[] lanes;

    /** Calls without a reported outcome, the oldest first. */
    private final ArrayDeque<IncrementCall> unreported = new ArrayDeque<>();

    private InetSocketAddress address;

    /** When the latest call that was answered in time was made. */
    private double lastAnsweredCallMs = Double.NEGATIVE_INFINITY;

    private EventLoop.Timer timeoutCheck;

    /**
     * @param callTimeoutMs after which a call is reported as timed out
     * @param connections how many stand side by side
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

    /** Within a batch: opens the connections, so that the first calls find them ready. */
    public void connect() {
        for (CounterLane lane : lanes) {
            lane.connect();
        }
    }

    /**
     * Within a batch: new calls go to that address. Responses to those sent before are still
     * awaited from the old one.
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

    /** Within a batch: increments a key, which the counter then keeps for the TTL. */
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
                        : unreported.peek().madeAtMs + callTimeoutMs;
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
                && nowMs - unreported.peek().madeAtMs >= callTimeoutMs - TIMER_TOLERANCE_MS) {
            IncrementCall call = unreported.peek();
            boolean sent = !call.lane.withdraw(call);
            report(call, OutcomeMapping.ofCounterCall(CloseReason.RESPONSE_TIMEOUT, sent), 0);
        }
        scheduleTimeoutCheck();
    }

    /**
     * Reports the outcome of a call; one that timed out before only if it has a total after all.
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
        call.lane.closeOldIfSettled();
        double tookMs = context.nowMs() - call.madeAtMs;
        context.events().counterAnswered(call.counterKey, outcome, tookMs, total);
    }

    /** A response to a call has come, in time or late. */
    void responseArrived(IncrementCall call) {
        if (!call.reported) {
            lastAnsweredCallMs = Math.max(lastAnsweredCallMs, call.madeAtMs);
        }
    }

    /** Whether a call made after that time has been answered in time, on any connection. */
    boolean hasAnsweredCallSince(double timeMs) {
        return lastAnsweredCallMs > timeMs;
    }
}
