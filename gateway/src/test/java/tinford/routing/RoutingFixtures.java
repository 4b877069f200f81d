package tinford.routing;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayEvents;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.routing.catalog.Catalog;
import tinford.routing.client.ClientLimits;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.settings.JsonFields;
import tinford.transport.EventLoop;

/** Settings, commands, endpoint lists and batches for tests of the request path. */
public final class RoutingFixtures {
    /** Limit on the time of a test step that hangs; no test depends on its value. */
    public static final int TIMEOUT_MS = 20_000;

    public static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    public static final String PING = "*1\r\n$4\r\nPING\r\n";
    public static final String PONG = "+PONG\r\n";
    public static final String ABORTED = "-ERR aborted\r\n";
    public static final String REJECTED = "-BUSY\r\n";
    private static final String TENANT = "0000000000000007";

    private RoutingFixtures() {}

    /** A decision module that passes all events to a given receiver. */
    public static DecisionModule decisions(GatewayEvents events) {
        return (nowMs, batch, actions) -> batch.replay(events);
    }

    public static RequestClass requestClass(
            String name, double timeoutMs, Idempotency idempotency) {
        return new RequestClass(
                name,
                timeoutMs / 4,
                timeoutMs,
                1,
                0,
                idempotency,
                DeduplicationScope.ALL,
                0,
                false);
    }

    public static Plan plan(String name) {
        return new Plan(name, 0, 0, 0, 1, 0, 0, 0, 0, 0);
    }

    /** A catalog with the given request classes and the plan "p". */
    public static Catalog catalog(RequestClass... classes) {
        Map<String, RequestClass> byName = new LinkedHashMap<>();
        for (RequestClass requestClass : classes) {
            byName.put(requestClass.name, requestClass);
        }
        return new Catalog(byName, Map.of("p", plan("p")));
    }

    /** Limits for one gateway, ten open requests and eight connections. */
    public static ClientLimits clientLimits() {
        return new ClientLimits(1, 6, 15_000, 10, 8, 8);
    }

    public static String command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append("$").append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    /** The command of an idempotent request of class "f" and plan "p". */
    public static String askCommand(int id, int timeoutMs) {
        return command("Q.ASK", TENANT, hexId(id), "c=f,t=p,d=" + timeoutMs);
    }

    /** The command of a request that is not idempotent, with further words after its terms. */
    public static String doCommand(int id, String requestClass, int timeoutMs, String... body) {
        String[] words = new String[4 + body.length];
        words[0] = "Q.DO";
        words[1] = TENANT;
        words[2] = hexId(id);
        words[3] = "c=" + requestClass + ",t=p,d=" + timeoutMs;
        System.arraycopy(body, 0, words, 4, body.length);
        return command(words);
    }

    private static String hexId(int id) {
        return String.format("%016x", id);
    }

    public static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a number of characters, or fewer if the stream ends before. */
    public static String read(Socket socket, int length) throws IOException {
        return new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /**
     * A server that accepts no connections and has a full backlog, so that no further connection to
     * it is ever established.
     *
     * @param resources list that its sockets are added to, to be closed at the end of the test
     */
    public static ServerSocket serverWithFullBacklog(List<AutoCloseable> resources)
            throws IOException {
        ServerSocket full = new ServerSocket(0, 1, LOOPBACK);
        resources.add(full);
        for (int i = 0; i < 2; i++) {
            resources.add(new Socket(LOOPBACK, full.getLocalPort()));
        }
        return full;
    }

    /** An entry of an endpoint list. */
    public static String hostEntry(String id, ServerSocket server, String health, int bornMs) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:"
                + server.getLocalPort()
                + "\",\"site\":\"a\",\"block\":0,\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + bornMs
                + "}";
    }

    public static JsonFields endpointList(boolean complete, Collection<String> entries) {
        String text =
                "{\"seq\":1,\"whole\":"
                        + complete
                        + ",\"hosts\":["
                        + String.join(",", entries)
                        + "]}";
        return JsonFields.of(new JsonFactory(), "list", text);
    }

    /** Runs a task within one batch: data that arrives while it runs is not read before its end. */
    public static void runInBatch(RequestDispatcher dispatcher, EventLoop.Task task)
            throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        dispatcher
                .loop()
                .execute(
                        () -> {
                            try {
                                task.run();
                                done.complete(null);
                            } catch (RuntimeException | AssertionError e) {
                                done.completeExceptionally(e);
                            }
                        });
        done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
