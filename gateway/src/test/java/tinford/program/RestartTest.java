package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.valueReply;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.testing.FreePort;

/** The end of a process while clients go on: every request is accounted for. */
public class RestartTest extends GatewayFixture {
    private static final long SLOW_ANSWER_MS = 1500;
    private static final int LONGEST_CLIENT_TIMEOUT_MS = 4000;
    private static final int EXIT_SLACK_MS = 700;

    /** By then the gateway has closed its listener and all idle connections. */
    private static final long COMPLETE_COMMAND_AFTER_MS = 900;

    /** The ids that servers have received. */
    private final Set<String> forwardedIds = ConcurrentHashMap.newKeySet();

    /** 0 before the signal. */
    private volatile long signalledNanos;

    /** Answers at once, after a moment, or late, as the id says. */
    private void answerWithDelays(ServerSocket server) {
        acceptAll(
                server,
                connection -> {
                    for (String s = connection.receive(); s != null; s = connection.receive()) {
                        String id = idOf(s);
                        forwardedIds.add(id);
                        Thread.sleep(answerDelayMs(id));
                        connection.send(valueReply("for " + id));
                    }
                });
    }

    private static long answerDelayMs(String id) {
        int n = Integer.parseInt(id.substring(8), 16);
        return n % 40 == 3 ? SLOW_ANSWER_MS : n % 7 * 5;
    }

    private void sendSigterm() {
        signalledNanos = System.nanoTime();
        gateway.toHandle().destroy();
    }

    private double sinceSignalMs() {
        return signalledNanos == 0 ? -1 : (System.nanoTime() - signalledNanos) / 1e6;
    }

    private RetryingClient startClient(int n, int batchSize, long firstSendMs, boolean connects) {
        return new RetryingClient(this, this::sinceSignalMs, n, batchSize, firstSendMs, connects);
    }

    private List<RetryingClient> startClients() {
        List<RetryingClient> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(startClient(clients.size(), i < 8 ? 1 : 3, -1, true));
        }
        // idle until long after the signal, or until about the close of idle connections
        for (int i = 0; i < 40; i++) {
            long firstSendMs = i < 8 ? 60 * i : 430 + 8 * (i - 8);
            clients.add(startClient(clients.size(), 1 + i % 2, firstSendMs, true));
        }
        for (int i = 0; i < 20; i++) {
            clients.add(startClient(clients.size(), 1, 35 * i, false));
        }
        return clients;
    }

    /** For how long clients send before the signal, and whether another process follows. */
    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {"alone", 300, false}, {"just started", 0, false}, {"followed", 300, true}
        };
    }

    @Test(dataProvider = "scenarios")
    public void everyRequestIsAccountedFor(String name, int loadMs, boolean isFollowed)
            throws Exception {
        signalledNanos = 0;
        forwardedIds.clear();
        answerWithDelays(servers[0]);
        if (isFollowed) {
            createSharedFolder();
            gateway = startManaged(FreePort.find(), logFile);
        } else {
            startGateway().socket.close();
        }
        List<RetryingClient> clients = startClients();
        if (isFollowed) {
            startManaged(FreePort.find(), createLogFile());
        }
        Thread.sleep(loadMs);
        TestConnection incomplete = connectClient();
        incomplete.send(readCommand(7).substring(0, 50));
        sendSigterm();
        TestConnection neverClosed = connectClient();
        Thread.sleep(COMPLETE_COMMAND_AFTER_MS);
        incomplete.send(readCommand(7).substring(50));
        String answer = incomplete.receive();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        double exitMs = sinceSignalMs();
        assertAccountedFor(clients, isFollowed, answer, exitMs);
        assertEquals(gateway.exitValue(), 0);
        neverClosed.socket.close();
    }

    private void assertAccountedFor(
            List<RetryingClient> clients, boolean isFollowed, String answer, double exitMs)
            throws InterruptedException {
        int answered = 0;
        int unanswered = 0;
        int lost = 0;
        List<String> failures = new ArrayList<>();
        for (RetryingClient client : clients) {
            if (isFollowed) {
                client.stopSending();
            }
            client.join(TIMEOUT_MS);
            answered += client.answered();
            unanswered += client.unanswered().size();
            lost += client.lost();
            client.unanswered().stream()
                    .filter(forwardedIds::contains)
                    .forEach(id -> failures.add("forwarded and not answered: " + id));
            if (client.failure() != null) {
                failures.add(client.failure());
            }
        }
        String account =
                String.format(
                        "%d answered, %d closed without an answer, %d lost, incomplete command: %s,"
                                + " exit after %.0f ms, %s",
                        answered, unanswered, lost, answer, exitMs, failures);
        assertEquals(failures, List.of(), account);
        assertEquals(lost, 0, account);
        assertTrue(isAnswer(answer, 7), account);
        assertTrue(answered > 60 && exitMs <= LONGEST_CLIENT_TIMEOUT_MS + EXIT_SLACK_MS, account);
    }

    private static boolean isAnswer(String answer, int id) {
        return answer != null
                && (answer.equals("for " + requestId(id)) || answer.startsWith("-BUSY"));
    }

    /** The signal follows the first connection at once. */
    @Test
    public void sigtermRightAfterTheListenerOpensDrainsAsUsual() throws Exception {
        answerAll(servers[0]);
        Files.writeString(configurationFile, configuration());
        gateway = startProcess(Map.of("ROUTER_CONFIG", configurationFile.toString()));
        TestConnection client = connectOnceListening(0);
        sendSigterm();
        String answer = client.send(readCommand(1)).receive();
        assertTrue(isAnswer(answer, 1), "received " + answer);
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }

    /**
     * Its answers are long values, together longer than what the system buffers for a connection.
     * They are cut off when the client timeout is over.
     */
    @Test
    public void clientThatDoesNotReadDoesNotDelayTheExit() throws Exception {
        TestConnection client = startGateway("\"HardLimitUs\":4000000", "\"HardLimitUs\":1000000");
        client.send(readCommand(1) + readCommand(2));
        for (int i = 0; i < 2; i++) {
            TestConnection server = accept(servers[0]);
            server.receive();
            startDaemon(() -> server.send(valueReply("x".repeat(4 << 20))));
        }
        assertEquals(client.readLine(), "$" + (4 << 20));
        sendSigterm();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        double exitMs = sinceSignalMs();
        // 1680 ms by the gateway's own clock; 10 s if it waited for the client
        assertTrue(exitMs >= 1600 && exitMs < 3000, "exit after " + exitMs);
        assertEquals(gateway.exitValue(), 0);
    }

    /** The other process goes on. */
    @Test
    public void standbyProcessExitsAtSigterm() throws Exception {
        createSharedFolder();
        answerAll(servers[0]);
        gateway = startManaged(FreePort.find(), logFile);
        Path otherLog = createLogFile();
        Process next = startManaged(FreePort.find(), otherLog);
        next.toHandle().destroy();
        assertTrue(next.waitFor(2, TimeUnit.SECONDS), "it has not exited");
        assertEquals(next.exitValue(), 0);
        assertEquals(connectClient().send(readCommand(1)).receive(), "for " + requestId(1));
        gateway.toHandle().destroy();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }
}
