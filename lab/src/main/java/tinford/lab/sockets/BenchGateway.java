package tinford.lab.sockets;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import tinford.lab.model.CounterStore;

/** A real gateway: its process, its own way to the counter, and the clients' connections to it. */
final class BenchGateway {
    private static final int READY_WITHIN_MS = 20_000;

    /** Guards against another that listens there. */
    private static final int PONG_WITHIN_MS = 1000;

    private final BenchContext context;
    private final RequestRecords records;
    private final int discoveryPort;
    private final int number;
    private final int port;
    private final int counterPort;
    private final CounterStandIn counter;
    private final ConcurrentLinkedDeque<RespConnection> idle = new ConcurrentLinkedDeque<>();

    /** Rises with each start and each end: it owes no answer to what overlaps one. */
    private volatile long incarnation;

    private volatile boolean paused;

    /** It has answered since its start: before that, and dead, it owes nothing. */
    private volatile boolean up;

    private volatile Process process;

    BenchGateway(
            BenchContext context,
            RequestRecords records,
            CounterStore store,
            int number,
            int discoveryPort)
            throws IOException {
        this.context = context;
        this.records = records;
        this.number = number;
        this.discoveryPort = discoveryPort;
        counter = new CounterStandIn(context, store);
        port = FreePort.find();
        counterPort = context.between.counter(number, counter.port());
    }

    int number() {
        return number;
    }

    long incarnation() {
        return incarnation;
    }

    /** Whether a request that is asked now must be answered. */
    boolean owesAnswer() {
        return up && !paused;
    }

    void start() throws IOException {
        incarnation++;
        paused = false;
        Path file = context.folder.resolve("gateway" + number + ".json");
        Files.writeString(
                file,
                new GatewayConfiguration(context).of(number, port, discoveryPort, counterPort));
        process = context.between.start(number, file, log());
    }

    private Path log() {
        return context.folder.resolve("gateway" + number + ".log");
    }

    void awaitReady() throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
        while (!answersPing()) {
            if (!process.isAlive() || System.nanoTime() > until) {
                throw new IOException(
                        "gateway " + number + " did not start: " + Files.readString(log()));
            }
            Thread.onSpinWait();
        }
        up = true;
        context.between.tell("ready", "who", number);
    }

    private boolean answersPing() {
        try (RespConnection wire = BenchContext.connect(port)) {
            wire.socket.setSoTimeout(PONG_WITHIN_MS);
            wire.say(RespConnection.command("PING"));
            return "+PONG".equals(wire.answer());
        } catch (IOException e) {
            return false;
        }
    }

    /** It stands still, or goes on. */
    void paused(boolean on) {
        incarnation++;
        paused = on;
        context.between.tell(on ? "paused" : "continued", "who", number);
    }

    /** A planned end, by SIGTERM; what crosses it is not owed. */
    void terminate() {
        end("ended by plan");
        process.destroy();
    }

    void kill() {
        end("killed");
        process.destroyForcibly();
    }

    private void end(String kind) {
        up = false;
        incarnation++;
        context.between.tell(kind, "who", number);
    }

    void cutOffCounter(boolean on) {
        counter.cutOff(on);
    }

    /**
     * One request on a connection of its own while it lasts: its answer, or null where none came.
     * One that was kept may have been closed meanwhile: then a new one is tried.
     */
    String ask(String command, double timeoutMs) {
        RespConnection kept = idle.poll();
        if (kept != null) {
            try {
                String answer = askOnKept(kept, command, timeoutMs);
                if (answer != null) {
                    return answer;
                }
            } catch (SocketTimeoutException e) {
                kept.close();
                return null;
            } catch (IOException e) {
                // closed between requests, or the gateway is dead
            }
            kept.close();
        }
        return askOnNew(command, timeoutMs);
    }

    private String askOnKept(RespConnection wire, String command, double timeoutMs)
            throws IOException {
        wire.socket.setSoTimeout(timeout(timeoutMs));
        if (wire.waits()) {
            records.strange("lost: gateway " + number + " answered once more than it was asked");
            context.between.tell("answered", "req", "", "via", number, "how", "again");
        }
        return exchange(wire, command);
    }

    private String askOnNew(String command, double timeoutMs) {
        RespConnection wire = null;
        try {
            wire = BenchContext.connect(port);
            wire.socket.setSoTimeout(timeout(timeoutMs));
            String answer = exchange(wire, command);
            if (answer != null) {
                return answer;
            }
        } catch (IOException e) {
            // no answer in time, or the gateway is dead
        }
        if (wire != null) {
            wire.close();
        }
        return null;
    }

    private static int timeout(double timeoutMs) {
        return (int) Math.max(1, timeoutMs);
    }

    /** The connection is kept where an answer came. */
    private String exchange(RespConnection wire, String command) throws IOException {
        wire.say(command);
        String answer = wire.answer();
        if (answer != null) {
            idle.addFirst(wire);
        }
        return answer;
    }

    void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        counter.close();
        idle.forEach(RespConnection::close);
    }
}
