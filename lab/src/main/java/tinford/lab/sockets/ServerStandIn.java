package tinford.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import tinford.api.AttemptOutcome;
import tinford.api.Server;
import tinford.lab.fleet.HistoryOutcome;
import tinford.lab.model.ClientAttempt;
import tinford.lab.model.ServerMachine;
import tinford.lab.scenario.Scenario;

/** A server: the model's machine behind a listening socket, which is closed while it is dead. */
final class ServerStandIn {
    private static final int BACKLOG = 200;

    /** How often it is looked at whether the machine has died or is back, ms. */
    private static final double POLL_INTERVAL_MS = 20;

    private final BenchContext context;
    private final RequestRecords records;
    private final Map<String, ContinuousSampler> work;
    private final ServerMachine machine;
    private final int port;
    private final Map<RespConnection, Boolean> wires = new ConcurrentHashMap<>();
    private final AtomicInteger held = new AtomicInteger();

    /** The last dispatch on each connection. */
    private final Map<RespConnection, ClientAttempt.ServerVisit> dispatches = new HashMap<>();

    private ServerSocket listener;
    private boolean unhealthy;

    /** As gateways were told: its state, since when it drains, and its last start. */
    private Server.State state = Server.State.UP;

    private double drainNotifiedAtMs = Double.POSITIVE_INFINITY;
    private double toldBorn;

    /**
     * @param work how long requests of each frontend take
     */
    ServerStandIn(
            BenchContext context,
            RequestRecords records,
            Map<String, ContinuousSampler> work,
            ServerMachine machine)
            throws IOException {
        this.context = context;
        this.records = records;
        this.work = work;
        this.machine = machine;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        this.port = listener.getLocalPort();
        accept();
        context.live.post(this::look);
    }

    ServerMachine machine() {
        return machine;
    }

    int port() {
        return port;
    }

    Server.State state() {
        return state;
    }

    /** What gateways are told now. */
    void announce(Server.State announced) {
        state = announced;
        toldBorn = machine.born;
        drainNotifiedAtMs =
                announced == Server.State.UP
                        ? Double.POSITIVE_INFINITY
                        : Math.min(drainNotifiedAtMs, context.live.agenda().now());
    }

    void close() throws IOException {
        if (listener != null) {
            listener.close();
        }
    }

    private void look() {
        try {
            boolean sick = !machine.up() || machine.hangs();
            if (sick != unhealthy) {
                unhealthy = sick;
                context.between.tell(unhealthy ? "ill" : "well", "server", machine.id);
            }
            if (!machine.up() && listener != null) {
                context.between.shut(machine.id, true);
                listener.close();
                listener = null;
                wires.keySet().forEach(this::drop);
            } else if (machine.up() && listener == null) {
                listenAgain();
            }
        } catch (IOException e) {
            listener = null; // tried again at the next look
        }
        context.live.agenda().after(POLL_INTERVAL_MS, this::look);
    }

    private void listenAgain() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        accept();
        context.between.shut(machine.id, false);
    }

    private void accept() {
        context.accept(
                listener,
                wire -> {
                    wire.socket.setSoTimeout((int) (context.between.idle() + longestTimeout()));
                    // guards the order of the lines: each has the count of its own change
                    synchronized (held) {
                        wires.put(wire, true);
                        tellConnection("opened", wire, held.incrementAndGet());
                    }
                    context.pool.execute(() -> serve(wire));
                });
    }

    private double longestTimeout() {
        return context.scenario.frontends().stream()
                .mapToDouble(Scenario.Frontend::timeout)
                .max()
                .orElse(0);
    }

    private void tellConnection(String kind, RespConnection wire, int count) {
        context.between.tell(
                kind,
                "server",
                machine.id,
                "from",
                context.between.from(wire.socket.getPort()),
                "held",
                count);
    }

    private void serve(RespConnection wire) {
        ServerMachine.Visit[] visit = new ServerMachine.Visit[1];
        try {
            for (String[] words = wire.words(); words != null; words = wire.words()) {
                String[] command = words;
                context.live.post(() -> visit[0] = begin(wire, command));
            }
        } catch (IOException | RuntimeException e) {
            // what can't be read ends its connection
        } finally {
            drop(wire);
            context.live.post(() -> ended(wire, visit[0]));
        }
    }

    /** Counted first: whoever sees the end may open another one at once. */
    private void drop(RespConnection wire) {
        synchronized (held) {
            if (wires.remove(wire) != null) {
                tellConnection("closed", wire, held.decrementAndGet());
            }
        }
        wire.close();
    }

    private void ended(RespConnection wire, ServerMachine.Visit visit) {
        records.connectionEnded(wire.socket.getPort());
        if (visit != null) {
            machine.withdraw(visit);
        }
        ClientAttempt.ServerVisit dispatch = dispatches.remove(wire);
        if (dispatch != null && dispatch.end == null) {
            dispatch.end = AttemptOutcome.TIMED_OUT; // given up by its gateway; it may have run
        }
    }

    private ServerMachine.Visit begin(RespConnection wire, String[] words) {
        double now = context.live.agenda().now();
        String id = words[2];
        int from = wire.socket.getPort();
        ClientAttempt request = records.request(Long.parseUnsignedLong(id, 16));
        double works = work.get(request.requestClass.name).sample();
        boolean further = records.reachedServer(request.id);
        tellDispatch(request, id, from, further);
        if (!further) {
            records.drawUnits(request, now);
        }
        ClientAttempt.ServerVisit dispatch =
                records.dispatched(request, machine, from, now, drainNotifiedAtMs);
        dispatches.put(wire, dispatch);
        ServerMachine.Visit visit =
                new ServerMachine.Visit(works, end -> finish(wire, id, dispatch, end));
        if (records.overloads(machine, works, now, toldBorn == machine.born)) {
            machine.die();
        }
        machine.come(visit);
        return visit;
    }

    private void tellDispatch(ClientAttempt request, String id, int from, boolean further) {
        context.between.tell(
                "dispatch",
                "server",
                machine.id,
                "from",
                context.between.from(from),
                "req",
                id,
                "frontend",
                request.requestClass.name,
                "effect",
                request.requestClass.idempotency.name(),
                "units",
                request.units,
                "further",
                further,
                "group",
                Integer.toString(machine.cell),
                "class",
                context.between.group(machine.id),
                "window",
                request.requestClass.deduplicationWindowMs);
    }

    private void finish(
            RespConnection wire,
            String id,
            ClientAttempt.ServerVisit dispatch,
            AttemptOutcome end) {
        dispatch.end = dispatch.end == null ? end : dispatch.end;
        context.between.tell(
                "ended", "server", machine.id, "req", id, "how", HistoryOutcome.nameOf(end));
        try {
            switch (end) {
                case SUCCESS -> wire.say("*3\r\n$16\r\n" + id + "\r\n$-1\r\n$-1\r\n");
                case OVERLOADED -> wire.say("-BUSY\r\n");
                default -> drop(wire);
            }
        } catch (IOException e) {
            drop(wire);
        }
    }
}
