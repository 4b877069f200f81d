package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** SIGTERM while requests are in flight, at each stage of theirs and of the process. */
public class ShutdownTest extends GatewayFixture {
    /** So long after the longest client timeout, or after 3 s, SIGKILL may come. */
    private static final int EXIT_SLACK_MS = 700;

    private static final int TEST_SLACK_MS = 250;

    /** Until then after the signal, a client does not read. */
    private static final int READ_PAUSE_END_MS = 2000;

    /** The longest client timeout that the exit waits for. */
    private static final int MAX_WAIT_MS = 3000;

    /** The ids that servers have received. */
    private final Set<String> forwardedIds = ConcurrentHashMap.newKeySet();

    /** A permit for each request that a server has received and does not answer. */
    private final Semaphore heldRequests = new Semaphore(0);

    private long signalledNanos;

    /** How late this machine has let a thread go on, since the signal. */
    private volatile double maxLatenessMs;

    private int longestTimeoutMs = 4000;

    @Override
    String configuration() {
        return super.configuration()
                .replace("\"HardLimitUs\":4000000", "\"HardLimitUs\":" + longestTimeoutMs + "000")
                .replaceAll("\"OnTimeUs\":[0-9]*", "\"OnTimeUs\":" + longestTimeoutMs / 2 + "000");
    }

    private void sendSigterm() {
        if (signalledNanos == 0) {
            signalledNanos = System.nanoTime();
            startDaemon(this::measureLateness);
        }
        gateway.toHandle().destroy();
    }

    /** A process that exits waits for the processor several times in a row. */
    private void measureLateness() {
        maxLatenessMs = 0;
        while (gateway.isAlive()) {
            long from = System.nanoTime();
            LockSupport.parkNanos(1_000_000);
            maxLatenessMs = Math.max(maxLatenessMs, (System.nanoTime() - from) / 1e6 - 1);
        }
    }

    private double sinceSignalMs() {
        return (System.nanoTime() - signalledNanos) / 1e6;
    }

    /** Receives every request, and answers all or none. */
    private void readAll(ServerSocket server, boolean answers) {
        signalledNanos = 0;
        forwardedIds.clear();
        heldRequests.drainPermits();
        acceptAll(
                server,
                connection -> {
                    for (String s = connection.receive(); s != null; s = connection.receive()) {
                        String id = idOf(s);
                        forwardedIds.add(id);
                        if (answers) {
                            connection.send(valueReply("for " + id));
                        } else {
                            heldRequests.release();
                        }
                    }
                });
    }

    private void assertExited(double minMs, double maxMs) throws Exception {
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        double exitMs = sinceSignalMs();
        assertTrue(
                exitMs >= minMs && exitMs <= maxMs + 5 * maxLatenessMs,
                "exit after " + exitMs + " ms, machine late by " + maxLatenessMs + " ms");
        assertEquals(gateway.exitValue(), 0);
    }

    private static boolean isAnswer(String answer, int id) {
        return answer != null
                && (answer.equals("for " + requestId(id))
                        || answer.startsWith("-BUSY")
                        || answer.equals("-ERR aborted"));
    }

    @DataProvider
    public Object[][] clientTimeouts() {
        return new Object[][] {{300}, {1000}, {8000}};
    }

    /**
     * One client never closes, one sends half a command, and one sends without end: each request is
     * answered, and the process exits in time.
     */
    @Test(dataProvider = "clientTimeouts")
    public void hangingServersDoNotDelayTheExit(int timeout) throws Exception {
        readAll(servers[0], false);
        longestTimeoutMs = timeout;
        TestConnection open = startGateway();
        TestConnection incomplete = connectClient().send(readCommand(2).substring(0, 60));
        TestConnection busy = connectClient();
        open.send(readCommand(1).replace("d=4000", "d=8000"));
        assertTrue(heldRequests.tryAcquire(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        List<String> sent = new CopyOnWriteArrayList<>();
        List<String> answers = new CopyOnWriteArrayList<>();
        Semaphore inFlight = new Semaphore(2);
        Thread reader = startDaemon(() -> receiveAll(busy, answers, inFlight));
        sendSigterm();
        Thread writer = startDaemon(() -> sendWhileAlive(reader, busy, sent, inFlight));
        assertTrue(isAnswer(open.receive(), 1));
        String answer = incomplete.receive();
        assertTrue(
                answer != null && (answer.equals("-BUSY") || answer.startsWith("-ERR ")),
                "incomplete command answered " + answer);
        int waitMs = Math.min(timeout, MAX_WAIT_MS);
        assertExited(waitMs, waitMs + EXIT_SLACK_MS + TEST_SLACK_MS);
        reader.join(TIMEOUT_MS);
        writer.join(TIMEOUT_MS);
        List<String> unanswered = sent.subList(answers.size(), sent.size());
        assertTrue(
                unanswered.stream().noneMatch(forwardedIds::contains),
                "forwarded and not answered: " + unanswered + ", answered " + answers.size());
    }

    private static void receiveAll(
            TestConnection connection, List<String> answers, Semaphore inFlight)
            throws IOException {
        for (String s = connection.receive(); s != null; s = connection.receive()) {
            answers.add(s);
            inFlight.release();
        }
        inFlight.release(1000);
    }

    /** Keeps two requests in flight, so that the connection is never idle. */
    private static void sendWhileAlive(
            Thread reader, TestConnection connection, List<String> sent, Semaphore inFlight)
            throws Exception {
        for (int n = 100; reader.isAlive(); n++) {
            inFlight.acquire();
            connection.send(readCommand(n));
            sent.add(requestId(n));
        }
    }

    /**
     * Sent right before the signal, on connections that are open, new, or still in the backlog, and
     * right after it.
     */
    @Test
    public void requestsUnreadAtTheSignalAreAnswered() throws Exception {
        readAll(servers[0], true);
        startGateway().socket.close();
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(connectClient());
        }
        TestConnection incomplete = connectClient().send(readCommand(1000).substring(0, 60));
        for (int i = 0; i < 100; i++) {
            clients.get(i).send(readCommand(i));
        }
        for (int i = 100; i < 150; i++) {
            clients.add(connectClient().send(readCommand(i)));
        }
        sendSigterm();
        incomplete.send(readCommand(1000).substring(60));
        for (int i = 150; i < 200; i++) {
            clients.add(connectClient().send(readCommand(i)));
        }
        for (int i = 0; i < 200; i++) {
            String received = clients.get(i).receive();
            assertTrue(isAnswer(received, i), i + ": " + received);
            clients.get(i).socket.close();
        }
        assertTrue(isAnswer(incomplete.receive(), 1000));
        incomplete.socket.close();
        assertExited(0, 4000 + EXIT_SLACK_MS);
    }

    /** Three signals while requests are in flight: the exit is timed by the first. */
    @Test
    public void repeatedSignalChangesNothing() throws Exception {
        signalledNanos = 0;
        TestConnection client = startGateway().send(readCommand(1));
        TestConnection rests = connectClient();
        assertEquals(rests.send(command("PING")).receive(), "+PONG");
        TestConnection server = accept(servers[0]);
        server.receive();
        sendSigterm();
        TestConnection late = connectClient().send(readCommand(2)); // still accepted
        TestConnection second = accept(servers[0]);
        second.receive();
        sendSigterm();
        second.send(valueReply("for " + requestId(2)));
        assertEquals(late.receive(), "for " + requestId(2));
        assertEquals(rests.receive(), null);
        sendSigterm();
        assertEquals(late.receive(), null);
        server.send(valueReply("for " + requestId(1)));
        assertEquals(client.receive(), "for " + requestId(1));
        for (TestConnection t : List.of(client, rests, late)) {
            t.socket.close();
        }
        assertExited(400, 4000 + EXIT_SLACK_MS);
    }

    /** Discovery has not sent its first list, so the gateway does not listen yet. */
    @Test
    public void signalDuringTheStartExitsAtOnce() throws Exception {
        signalledNanos = 0;
        Files.writeString(configurationFile, configuration());
        gateway = startProcess(Map.of("ROUTER_CONFIG", configurationFile.toString()));
        TestConnection watch = accept(discovery);
        assertTrue(watch.readLine().startsWith("GET "));
        sendSigterm();
        assertExited(0, 2000);
        assertEquals(Files.readString(logFile), "");
    }

    /** The signal follows the first connection at once. */
    @Test
    public void clientsThatConnectAsTheListenerOpensAreAnswered() throws Exception {
        readAll(servers[0], true);
        Files.writeString(configurationFile, configuration());
        gateway = startProcess(Map.of("ROUTER_CONFIG", configurationFile.toString()));
        Semaphore first = new Semaphore(0);
        List<String> wrong = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int n = i;
            callers.add(
                    startDaemon(
                            () -> {
                                TestConnection t =
                                        connectOnceListening(TimeUnit.MILLISECONDS.toNanos(1));
                                t.send(readCommand(n));
                                first.release();
                                String received = t.receive();
                                if (!isAnswer(received, n)) {
                                    wrong.add(n + ": " + received);
                                }
                                t.socket.close();
                            }));
        }
        assertTrue(first.tryAcquire(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        sendSigterm();
        for (Thread t : callers) {
            t.join(TIMEOUT_MS);
        }
        assertEquals(wrong, List.of());
        assertExited(400, 4000 + EXIT_SLACK_MS);
    }

    /** The client sends in the moment in which the gateway closes its idle connection. */
    @Test
    public void requestAfterTheOrderlyCloseIsNotForwarded() throws Exception {
        readAll(servers[0], true);
        List<TestConnection> clients = new ArrayList<>(List.of(startGateway()));
        for (int i = 0; i < 20; i++) {
            clients.add(connectClient());
            if (i < 10) { // the others have sent nothing at all
                assertEquals(clients.get(1 + i).send(command("PING")).receive(), "+PONG");
            }
        }
        sendSigterm();
        List<Thread> callers = new ArrayList<>();
        List<String> received = new CopyOnWriteArrayList<>();
        for (TestConnection t : clients) {
            int n = 100 + clients.indexOf(t);
            callers.add(
                    startDaemon(
                            () -> {
                                assertEquals(t.receive(), null);
                                for (int i = 0; i < 50; i++) {
                                    t.send(
                                            readCommand(
                                                    100 * n + i)); // fails once the connection is
                                    // closed
                                }
                                received.add(String.valueOf(t.receive()));
                            }));
        }
        for (Thread t : callers) {
            t.join(TIMEOUT_MS);
        }
        assertExited(600, 4000 + EXIT_SLACK_MS);
        assertEquals(forwardedIds, Set.of());
        assertTrue(received.stream().allMatch("null"::equals), received.toString());
    }

    /** The client makes a pause of over a second while it reads. */
    @Test
    public void streamedValueIsCompletedBeforeTheExit() throws Exception {
        signalledNanos = 0;
        int length = 4 << 20;
        TestConnection first = startGateway();
        Socket s = new Socket();
        s.setReceiveBufferSize(8192);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort));
        TestConnection reads = track(new TestConnection(s)).send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        startDaemon(() -> server.send(valueReply("x".repeat(length))));
        assertEquals(reads.readLine(), "$" + length);
        sendSigterm();
        assertEquals(first.receive(), null); // closed, as it is idle
        first.socket.close();
        assertEquals(reads.in.readNBytes(length / 4).length, length / 4);
        Thread.sleep(Math.max(0, (long) (READ_PAUSE_END_MS - sinceSignalMs())));
        assertEquals(reads.in.readNBytes(3 * length / 4 + 2).length, 3 * length / 4 + 2);
        assertEquals(reads.readLine(), null);
        reads.socket.close();
        assertExited(1000, 4000 + EXIT_SLACK_MS);
    }

    @Test
    public void sigtermLeavesNoRequestUnanswered() throws Exception {
        TestConnection client = startGateway();
        TestConnection idle = connectClient();
        assertEquals(idle.send(command("PING")).receive(), "+PONG");
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        gateway.toHandle().destroy();
        TestConnection late = connectClient(); // still let in
        late.send(readCommand(2));
        TestConnection second = accept(servers[0]);
        second.receive();
        second.send(valueReply("taken after the signal"));
        assertEquals(late.receive(), "taken after the signal");
        assertEquals(idle.receive(), null);
        assertEquals(late.receive(), null);
        assertTrue(gateway.isAlive());
        server.send(valueReply("taken before it"));
        assertEquals(client.receive(), "taken before it");
        assertEquals(client.receive(), null);
        client.socket.close();
        late.socket.close();
        idle.socket.close();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }
}
