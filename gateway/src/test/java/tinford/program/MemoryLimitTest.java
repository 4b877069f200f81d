package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;

/** Guards against a heap that some clients fill, so that requests of all clients are lost. */
public class MemoryLimitTest extends GatewayFixture {
    /** The heap of a managed gateway with 96 MB of memory. */
    private static final String HEAP = "-Xmx18m";

    private static final int FIRST_OTHER_ID = 1_000_000;
    private static final int TROUBLE_MS = 1500;
    private static final int LINES_MS = 4000;
    private static final int WARM_UP_MS = 3000;
    private static final int WARM_UP_CLIENTS = 30;
    private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long PIECE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int SERVERS = 8;
    private static final int CLIENTS = 11;
    private static final int COMMANDS = 50;
    private static final String VALUE = "v".repeat(64_000);
    private static final String OUT_OF_RANGE =
            command(
                    "Q.ASK",
                    requestId(7),
                    requestId(7),
                    "c=read,t=free,d=8000,units=7,spread=9,first=9");

    private final List<TestConnection> clients = new ArrayList<>();

    @Override
    List<String> commandLine() {
        List<String> line = new ArrayList<>(super.commandLine());
        line.set(1, HEAP);
        line.add(1, "-XX:+UseSerialGC");
        return line;
    }

    @Override
    String configuration() {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            hosts.append(i == 0 ? "" : ",").append(endpointJson(i, servers[i], "ready"));
        }
        return super.configuration()
                .replace("\"sockets\":1024", "\"sockets\":512")
                .replace(endpointJson(0, servers[0], "ready"), hosts);
    }

    private void openServers(int count) throws Exception {
        servers = new ServerSocket[count];
        for (int i = 0; i < count; i++) {
            servers[i] = openServerSocket();
        }
    }

    private void connectClients(int count) throws Exception {
        clients.clear();
        for (int i = 0; i < count; i++) {
            clients.add(connectClient());
        }
    }

    private void assertHeapSufficed() throws Exception {
        assertTrue(gateway.isAlive());
        String log = Files.readString(logFile);
        assertFalse(log.contains("OutOfMemoryError"), log);
    }

    /** Lines for commands out of range, kept behind an open request, filled the heap. */
    @Test
    public void linesKeptBehindOpenRequestsLeaveMemoryForOthers() throws Exception {
        final int lines = 6000;
        final String longReply = valueReply("long".repeat(20_000)); // streamed
        openServers(SERVERS);
        CountDownLatch answerFirst = new CountDownLatch(1);
        for (ServerSocket server : servers) {
            acceptAll(
                    server,
                    connection -> {
                        for (String s = connection.receive(); s != null; s = connection.receive()) {
                            LockSupport.parkNanos(SERVICE_NANOS);
                            if (idOf(s).compareTo(requestId(FIRST_OTHER_ID)) < 0) {
                                connection.send(longReply.substring(0, 100));
                                answerFirst.await();
                                connection.send(longReply.substring(100));
                            } else {
                                connection.send(valueReply("for " + idOf(s)));
                            }
                        }
                    });
        }
        TestConnection other = startGateway();
        warmUp();
        connectClients(WARM_UP_CLIENTS);
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            TestConnection client = clients.get(i);
            client.send(readCommand(i + 1));
            senders.add(startDaemon(() -> client.send(OUT_OF_RANGE.repeat(lines))));
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LINES_MS);
        for (int id = 2 * FIRST_OTHER_ID; System.nanoTime() < endNanos; id++) {
            String answer = other.send(readCommand(id)).receive();
            assertTrue(answer.equals("for " + requestId(id)) || answer.startsWith("-BUSY"), answer);
        }
        assertHeapSufficed();
        answerFirst.countDown();
        int open = 0;
        for (TestConnection client : clients) {
            open += client.receive().startsWith("long") ? 1 : 0;
            for (int i = 0; i < lines; i++) {
                String line = client.receive();
                assertTrue(line.startsWith("-ERR expected units"), i + ": " + line);
            }
        }
        for (Thread sender : senders) {
            sender.join(TIMEOUT_MS);
        }
        assertTrue(open > clients.size() / 2, open + " were open meanwhile");
        assertHeapSufficed();
    }

    /** Values kept behind an open request filled the heap, and their connections were closed. */
    @Test
    public void valuesKeptBehindOpenRequestsAreAllAnswered() throws Exception {
        openServers(SERVERS);
        CountDownLatch answerFirst = new CountDownLatch(1);
        for (ServerSocket server : servers) {
            acceptAll(server, connection -> answerWithValues(connection, answerFirst));
        }
        startGateway();
        warmUp();
        connectClients(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            StringBuilder all = new StringBuilder();
            for (int c = 0; c < COMMANDS; c++) {
                all.append(readCommand((i + 1) * COMMANDS + c));
            }
            clients.get(i).send(all.toString());
        }
        TestConnection other = connectClient();
        pingFor(other, TROUBLE_MS);
        answerFirst.countDown();
        int values = 0;
        for (int i = 0; i < CLIENTS; i++) {
            for (int c = 0; c < COMMANDS; c++) {
                String answer = clients.get(i).receive();
                assertTrue(answer != null, "closed at command " + c + " of client " + i);
                boolean isValue = answer.equals(requestId((i + 1) * COMMANDS + c) + VALUE);
                values += isValue ? 1 : 0;
                assertTrue(isValue || answer.startsWith("-BUSY"), answer);
            }
        }
        assertTrue(values > CLIENTS * COMMANDS / 2, values + " values");
        assertHeapSufficed();
    }

    private static void pingFor(TestConnection connection, long lengthMs) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lengthMs);
        while (System.nanoTime() < endNanos) {
            assertEquals(connection.send(command("PING")).receive(), "+PONG");
            LockSupport.parkNanos(SERVICE_NANOS);
        }
    }

    private static void answerWithValues(TestConnection connection, CountDownLatch answerFirst)
            throws Exception {
        for (String s = connection.receive(); s != null; s = connection.receive()) {
            long id = Long.parseLong(idOf(s), 16);
            LockSupport.parkNanos(SERVICE_NANOS);
            if (id < FIRST_OTHER_ID && id % COMMANDS == 0) {
                answerFirst.await();
            }
            connection.send(valueReply(id < FIRST_OTHER_ID ? idOf(s) + VALUE : "warm"));
        }
    }

    /** Requests until the limits on the attempts at the servers have grown. */
    private void warmUp() throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_UP_MS);
        AtomicInteger id = new AtomicInteger(FIRST_OTHER_ID);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < WARM_UP_CLIENTS; i++) {
            TestConnection client = connectClient();
            threads.add(
                    startDaemon(
                            () -> {
                                while (System.nanoTime() < endNanos) {
                                    client.send(readCommand(id.incrementAndGet())).receive();
                                }
                                client.socket.close();
                            }));
        }
        for (Thread thread : threads) {
            thread.join(TIMEOUT_MS);
        }
    }

    /** Half commands of others had connections closed that brought a whole one in two pieces. */
    @Test
    public void halfCommandsOfOthersEndNoConnection() throws Exception {
        final String body = "b".repeat(20_000);
        openServers(1);
        startGateway();
        answerAll(servers[0]);
        String half =
                command("Q.DO", requestId(7), requestId(7), terms("write", ""), "x".repeat(64_000))
                        .substring(0, 60_000);
        connectClients(100);
        for (TestConnection client : clients) {
            client.send(half);
        }
        TestConnection probe = connectClient();
        List<TestConnection> others = new ArrayList<>();
        for (int i = 1; i <= 20; i++) {
            TestConnection other = connectClient();
            others.add(other);
            other.send(wholeCommand(i, body).substring(0, 15_000));
            assertEquals(probe.send(command("PING")).receive(), "+PONG");
        }
        for (int i = 1; i <= others.size(); i++) {
            TestConnection other = others.get(i - 1);
            other.send(wholeCommand(i, body).substring(15_000));
            String answer = other.receive();
            assertEquals(answer, "for " + requestId(i));
        }
        for (TestConnection client : clients) {
            String answer = client.receive();
            assertTrue(
                    answer != null && (answer.equals("-BUSY") || answer.startsWith("-ERR ")),
                    answer);
        }
        assertHeapSufficed();
    }

    /** Whole commands that many clients wrote slowly were reset on their way in. */
    @Test
    public void commandsWrittenSlowlyByManyAreAllAnswered() throws Exception {
        final int pieces = 10;
        openServers(1);
        startGateway();
        answerAll(servers[0]);
        connectClients(120);
        for (int piece = 0; piece < pieces; piece++) {
            for (int i = 0; i < clients.size(); i++) {
                String whole = wholeCommand(i + 1, "s".repeat(60_000));
                int length = whole.length();
                String part =
                        whole.substring(piece * length / pieces, (piece + 1) * length / pieces);
                clients.get(i).send(part);
            }
            LockSupport.parkNanos(PIECE_INTERVAL_NANOS);
        }
        for (int i = 0; i < clients.size(); i++) {
            String answer = String.valueOf(clients.get(i).receive());
            assertTrue(
                    answer.equals("for " + requestId(i + 1)) || answer.startsWith("-BUSY"), answer);
        }
        assertHeapSufficed();
    }

    /** What comes after a command that waited for memory does not count as sent during the wait. */
    @Test
    public void commandAfterOneThatWaitedForMemoryHasItsWholeTime() throws Exception {
        openServers(1);
        TestConnection probe = startGateway();
        answerAll(servers[0]);
        String half = wholeCommand(9, "x".repeat(64_000)).substring(0, 60_000);
        connectClients(115);
        for (TestConnection client : clients) {
            client.send(half);
        }
        pingFor(probe, 600);
        TestConnection waiting = connectClient();
        long startNanos = System.nanoTime();
        waiting.send(wholeCommand(1, "y".repeat(64_000)));
        assertEquals(waiting.receive(), "for " + requestId(1));
        long waitMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(waitMs > 500, "waited for " + waitMs + " ms only");
        pingFor(probe, 1000);
        String brief = command("Q.ASK", requestId(7), requestId(2), terms("read", ""));
        waiting.send(brief.replace("d=4000", "d=0900"));
        assertEquals(waiting.receive(), "for " + requestId(2));
    }

    /** Requests under ever new names filled the heap with the quotas of their tenants. */
    @Test
    public void requestsUnderEverNewNamesAreAllAnswered() throws Exception {
        final int requests = 3000;
        openServers(SERVERS);
        for (ServerSocket server : servers) {
            answerAll(server);
        }
        TestConnection other = startGateway();
        connectClients(20);
        for (int i = 0; i < clients.size(); i++) {
            TestConnection client = clients.get(i);
            int firstId = FIRST_OTHER_ID * (i + 1);
            startDaemon(
                    () -> {
                        for (int id = firstId; id < firstId + requests; id++) {
                            client.send(newNameCommand(id));
                        }
                    });
        }
        for (int i = 0; i < clients.size(); i++) {
            int firstId = FIRST_OTHER_ID * (i + 1);
            for (int id = firstId; id < firstId + requests; id++) {
                String answer = String.valueOf(clients.get(i).receive());
                assertTrue(
                        answer.equals("for " + requestId(id)) || answer.startsWith("-BUSY"),
                        answer);
            }
            String answer = other.send(readCommand(i + 1)).receive();
            assertTrue(answer.startsWith("for ") || answer.startsWith("-BUSY"), answer);
        }
        assertHeapSufficed();
    }

    private static String newNameCommand(int id) {
        return command("Q.ASK", requestId(id), requestId(id), terms("read", ""));
    }

    private static String wholeCommand(int id, String body) {
        return command("Q.DO", requestId(7), requestId(id), terms("write", ""), body);
    }
}
