package tinford.lab.scale;

import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/** What the calls of all gateways on the counter come to. */
final class CounterTraffic implements DecisionListener {
    /** A window's name: the tenant's id above, the window's number below. */
    private static final int WINDOW_BITS = 30;

    private static final long WINDOW_MASK = (1L << WINDOW_BITS) - 1;

    /** Tenants' ids in service are spread over 32 bits; a model numbers its tenants from 1. */
    private static final long ID_MASK = (1L << 32) - 1;

    private static final long SPREAD = 0x9E3779B1L;
    private final double from;
    private final double to;
    private long requests;
    private long calls;
    private long readOnlyCalls;
    private long answeredCalls;
    private long unansweredCalls;
    private long sentBytes;
    private long receivedBytes;
    private long dispatches;

    /** Counts what happens within this time. */
    CounterTraffic(double from, double to) {
        this.from = from;
        this.to = to;
    }

    @Override
    public void arriving(int gateway, Request request, double now) {
        requests += counts(now) ? 1 : 0;
    }

    @Override
    public void calledCounter(int gateway, long name, double amount, double keepMs, double now) {
        if (counts(now)) {
            calls++;
            readOnlyCalls += amount == 0 ? 1 : 0;
            sentBytes += CounterCommand.callBytes(inService(name), amount, keepMs);
        }
    }

    @Override
    public void counting(int gateway, long name, AttemptOutcome end, double total, double now) {
        if (!counts(now)) {
            return;
        }
        if (end == AttemptOutcome.SUCCESS) {
            answeredCalls++;
            receivedBytes += CounterCommand.answerBytes(total);
        } else {
            unansweredCalls++;
        }
    }

    @Override
    public void dispatched(int gateway, Request request, Server server, double now) {
        dispatches += counts(now) ? 1 : 0;
    }

    private boolean counts(double now) {
        return now >= from && now < to;
    }

    private static long inService(long name) {
        long id = (name >> WINDOW_BITS) * SPREAD & ID_MASK;
        return (id << WINDOW_BITS) + (name & WINDOW_MASK);
    }

    double requests() {
        return requests;
    }

    double calls() {
        return calls;
    }

    double callsARequest() {
        return (double) calls / requests;
    }

    double readOnlyShare() {
        return (double) readOnlyCalls / calls;
    }

    double answeredShare() {
        return (double) answeredCalls / Math.max(1, answeredCalls + unansweredCalls);
    }

    double sentBytesARequest() {
        return (double) sentBytes / requests;
    }

    double receivedBytesARequest() {
        return (double) receivedBytes / requests;
    }

    double dispatchesARequest() {
        return (double) dispatches / requests;
    }
}
