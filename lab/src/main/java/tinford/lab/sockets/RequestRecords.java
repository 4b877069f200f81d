package tinford.lab.sockets;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import tinford.api.AttemptOutcome;
import tinford.api.Plan;
import tinford.lab.model.ClientAttempt;
import tinford.lab.model.Oracle;
import tinford.lab.model.ServerMachine;
import tinford.lab.model.TokenBucket;

/**
 * What a bench has seen of each request, held against the rules. Belongs to the thread of the
 * agenda, except where it is said.
 */
final class RequestRecords {
    /** The end of the connection before may lie unread for so long, ms. */
    private static final double UNREAD = 40;

    private static final int MAX_GIVEN_UP = 4096;

    private final WallClockEventQueue live;
    private final Oracle oracle;
    private final Map<Long, ClientAttempt> tries = new ConcurrentHashMap<>();

    /** Of requests that reached a server: whether their units were beyond the quota. */
    private final Map<Long, Boolean> beyond = new ConcurrentHashMap<>();

    private final Map<Long, TokenBucket> used = new HashMap<>();

    /** Answers that are none. */
    private final List<String> strange = new CopyOnWriteArrayList<>();

    /** The last dispatch on each connection, by the port of its gateway's end. */
    private final Map<Integer, ClientAttempt.ServerVisit> dispatches = new HashMap<>();

    /** Given up by their gateway before their dispatch was here. */
    private final Map<Integer, Boolean> givenUp = new HashMap<>();

    private double unitsServed;
    private double unitsBeyond;

    RequestRecords(WallClockEventQueue live, Oracle oracle) {
        this.live = live;
        this.oracle = oracle;
    }

    /** From any thread. */
    void asked(ClientAttempt request) {
        tries.put(request.id, request);
    }

    /** From any thread. */
    ClientAttempt request(long id) {
        return tries.get(id);
    }

    /** From any thread: whether a server has seen it. */
    boolean reachedServer(long id) {
        return beyond.containsKey(id);
    }

    /** From any thread: whether it reached a server though its customer's quota was used up. */
    boolean beyondQuota(long id) {
        return beyond.getOrDefault(id, false);
    }

    /** From any thread: what no gateway may answer. */
    void strange(String what) {
        strange.add(what);
    }

    /** The first dispatch of a request draws its units from its customer's quota. */
    void drawUnits(ClientAttempt request, double now) {
        Plan plan = request.tenant.plan;
        boolean inside =
                used.computeIfAbsent(
                                request.tenant.id,
                                id -> new TokenBucket(plan.quotaPerMs, plan.burst, now))
                        .take(request.units, now);
        beyond.put(request.id, !inside);
        unitsServed += request.units;
        unitsBeyond += inside ? 0 : request.units;
    }

    /**
     * A dispatch has come to a server.
     *
     * @param port of its gateway's end of the connection
     * @param drainTold when gateways were told that the server drains
     */
    ClientAttempt.ServerVisit dispatched(
            ClientAttempt request, ServerMachine machine, int port, double now, double drainTold) {
        ClientAttempt.ServerVisit dispatch = new ClientAttempt.ServerVisit(machine, now);
        Runnable record =
                () -> {
                    oracle.dispatched(request, machine, now, drainTold, request.visits.isEmpty());
                    request.visits.add(dispatch);
                };
        dispatches.put(port, dispatch);
        if (givenUp.containsKey(port)) {
            // it was held up on its way and comes after others: the histories judge it
            dispatch.end = AttemptOutcome.TIMED_OUT;
        } else if (request.visits.stream().anyMatch(earlier -> earlier.end == null)) {
            live.agenda().after(UNREAD, record);
        } else {
            record.run();
        }
        return dispatch;
    }

    /**
     * Whether the server was cold and falls under this work.
     *
     * @param startTold whether gateways knew of its last start
     */
    boolean overloads(ServerMachine machine, double work, double now, boolean startTold) {
        return oracle.arrives(machine, work, now, startTold);
    }

    /** The connection from that port to a server has ended. */
    void connectionEnded(int port) {
        dispatches.remove(port);
        givenUp.remove(port);
    }

    /** The gateway has closed its end of the connection from that port. */
    void connectionGivenUp(int port) {
        ClientAttempt.ServerVisit dispatch = dispatches.get(port);
        if (dispatch != null && dispatch.end == null) {
            dispatch.end = AttemptOutcome.TIMED_OUT;
        } else if (givenUp.size() < MAX_GIVEN_UP) {
            givenUp.put(port, true);
        }
    }

    /** A new connection will come to a server from that port. */
    void connectionComes(int port) {
        givenUp.remove(port);
    }

    void expired(ClientAttempt request, double now) {
        oracle.expired(request, now);
    }

    void answered(ClientAttempt request, String how, double now) {
        oracle.answered(request, how, now);
    }

    /** Of the units that reached servers, the part beyond quotas. */
    double beyondPart() {
        return unitsServed == 0 ? 0 : unitsBeyond / unitsServed;
    }

    double rulesBroken() {
        return (double) oracle.count() + strange.size();
    }

    /** The rules that were broken, each with the story of a request. */
    List<String> broken() {
        List<String> all = new ArrayList<>(strange);
        all.addAll(live.faults());
        all.addAll(oracle.broken());
        return all;
    }
}
