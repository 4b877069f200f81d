package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.testing.FreePort;

/** Two processes of one gateway, of which one takes the clients over from the other. */
public class HandoverTest extends GatewayFixture {
    /** No client is refused, requests in flight are answered, and a suspension stays in force. */
    @Test
    public void secondProcessTakesTheClientsOver() throws Exception {
        createSharedFolder();
        int management = FreePort.find();
        gateway = startManaged(management, logFile);
        TestConnection client = connectClient();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        TestConnection idle = connectClient();
        assertEquals(idle.send(command("PING")).receive(), "+PONG");
        assertEquals(callAdmin(management, "POST /v1/servers/s0/suspend"), "200");
        int other = FreePort.find();
        Path otherLog = createLogFile();
        Process next = startManaged(other, otherLog);
        assertEquals(callAdmin(other, "POST /v1/servers/s9/resume"), "404");
        gateway.toHandle().destroy();
        int unanswered = 0;
        for (int i = 0; gateway.isAlive() && i < 5000; i++) {
            unanswered += isPingAnsweredOnNewConnection() ? 0 : 1;
            if (i == 200) {
                server.send(valueReply("taken before"));
                assertEquals(client.receive(), "taken before");
                assertEquals(client.receive(), null); // closed right after the answer
                client.socket.close();
                assertEquals(idle.receive(), null);
                idle.socket.close();
            }
        }
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
        // those that arrive between the last accept and the close of the listener
        assertTrue(unanswered <= 2, unanswered + " not answered");
        awaitLog(otherLog, "handover complete: accepting client connections");
        TestConnection late = connectClient();
        // the only server is still suspended
        assertTrue(late.send(readCommand(2)).receive().startsWith("-BUSY"));
        assertEquals(callAdmin(other, "POST /v1/servers/s0/resume"), "200");
        answerAll(servers[0]);
        assertAnsweredWithin(late, 3, 60);
        next.destroy();
    }

    private boolean isPingAnsweredOnNewConnection() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), clientPort)) {
            TestConnection connection = track(new TestConnection(socket));
            return "+PONG".equals(connection.send(command("PING")).receive());
        } catch (IOException e) {
            return false;
        }
    }

    /** A server that was resumed is warming up, and gets its first requests one by one. */
    private static void assertAnsweredWithin(TestConnection client, int firstId, int lastId)
            throws IOException {
        String received = "";
        for (int i = firstId; i < lastId && !received.startsWith("for"); i++) {
            received = client.send(readCommand(i)).receive();
        }
        assertTrue(received.startsWith("for"), received);
    }

    /** The operating system releases the handover lock of a process that dies. */
    @Test
    public void killedProcessIsFollowedByTheStandby() throws Exception {
        createSharedFolder();
        gateway = startManaged(FreePort.find(), logFile);
        Path otherLog = createLogFile();
        startManaged(FreePort.find(), otherLog);
        awaitLog(otherLog, "standing by: another process accepts client connections");
        gateway.destroyForcibly().waitFor();
        awaitLog(otherLog, "handover complete: accepting client connections");
        assertEquals(connectClient().send(command("PING")).receive(), "+PONG");
    }

    /** Sends one request after another, until it is stopped. */
    private final class LoadClient extends Thread {
        private static final int MAX_ATTEMPTS = 20;
        final int firstId;
        final boolean keepsConnection;
        volatile boolean isStopped;
        int answered;
        int rejected;

        /** Attempts after a connection was refused, or closed without an answer. */
        int retried;

        final List<String> failures = new ArrayList<>();
        private TestConnection connection;

        /**
         * @param keepsConnection as long as the gateway keeps it, or opens one for each request
         */
        LoadClient(int firstId, boolean keepsConnection) {
            this.firstId = firstId;
            this.keepsConnection = keepsConnection;
            closeables.add(() -> isStopped = true); // also after a test that failed
            setDaemon(true);
            start();
        }

        @Override
        public void run() {
            for (int i = 0; !isStopped && i < 100_000; i++) {
                record(i, sendUntilAnswered(firstId + i));
            }
            closeConnection();
        }

        /** Null when no attempt was answered. */
        private String sendUntilAnswered(int id) {
            String answer = null;
            for (int attempt = 0; answer == null && attempt < MAX_ATTEMPTS; attempt++) {
                retried += attempt > 0 ? 1 : 0;
                answer = sendOnce(id);
                if (answer == null || !keepsConnection) {
                    closeConnection();
                }
            }
            return answer;
        }

        private String sendOnce(int id) {
            try {
                connection = connection == null ? connectClient() : connection;
                return connection.send(readCommand(id)).receive();
            } catch (IOException e) {
                return null;
            }
        }

        private void record(int n, String answer) {
            if (answer != null && answer.equals("for " + requestId(firstId + n))) {
                answered++;
            } else if (answer != null && answer.startsWith("-BUSY")) {
                rejected++;
            } else {
                failures.add(n + ": " + answer);
            }
        }

        private void closeConnection() {
            try {
                if (connection != null) {
                    connection.socket.close();
                }
            } catch (IOException e) {
                // it was closed already
            }
            connection = null;
        }
    }

    /** Two upgrades in a row under steady load: hardly any request has to be sent again. */
    @Test
    public void everyRequestIsAnsweredOverTwoUpgrades() throws Exception {
        createSharedFolder();
        answerAll(servers[0]);
        gateway = startManaged(FreePort.find(), logFile);
        List<LoadClient> loads = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            loads.add(new LoadClient(1_000_000 * (i + 1), i < 4));
        }
        Process old = gateway;
        for (int i = 0; i < 2; i++) {
            Path nextLog = createLogFile();
            Process next = startManaged(FreePort.find(), nextLog);
            old.toHandle().destroy();
            awaitLog(nextLog, "handover complete: accepting client connections");
            old = next;
        }
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        for (LoadClient l : loads) {
            l.isStopped = true;
        }
        for (LoadClient l : loads) {
            l.join();
        }
        assertAnswered(loads);
    }

    /**
     * A client that keeps its connection writes before it looks whether that was closed: it retries
     * once for each upgrade, and once more if it connects between the last accept and the close of
     * the listener.
     */
    private static void assertAnswered(List<LoadClient> loads) {
        int retriedOnNewConnections = 0;
        int answered = 0;
        for (LoadClient l : loads) {
            assertEquals(l.failures, List.of());
            assertTrue(!l.keepsConnection || l.retried <= 4, l.retried + " retried");
            retriedOnNewConnections += l.keepsConnection ? 0 : l.retried;
            answered += l.answered;
        }
        assertTrue(
                retriedOnNewConnections <= 4,
                retriedOnNewConnections + " retried on new connections");
        assertTrue(answered > 50, answered + " answered");
    }

    /** The first process goes on, and drains as one without a successor. */
    @Test
    public void killedStandbyChangesNothing() throws Exception {
        createSharedFolder();
        answerAll(servers[0]);
        gateway = startManaged(FreePort.find(), logFile);
        Path otherLog = createLogFile();
        startManaged(FreePort.find(), otherLog).destroyForcibly().waitFor();
        TestConnection client = connectClient();
        assertEquals(client.send(readCommand(1)).receive(), "for " + requestId(1));
        gateway.toHandle().destroy();
        TestConnection late = connectClient(); // still accepted
        assertEquals(late.send(readCommand(2)).receive(), "for " + requestId(2));
        assertEquals(client.receive(), null);
        client.socket.close();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }

    /**
     * Lines that can't be parsed are skipped; a log that can't be opened is one line in the log.
     */
    @Test
    public void corruptHandoverLogIsSkipped() throws Exception {
        createSharedFolder();
        Files.writeString(
                sharedFolder.resolve("tinford-n0.record"),
                "suspend 12 s0\nsusp\n\u0000\u0001 what\nresume x s0\nsuspend 99");
        int management = FreePort.find();
        gateway = startManaged(management, logFile);
        TestConnection client = connectClient();
        // the only server is suspended, by the log's first line
        assertTrue(client.send(readCommand(1)).receive().startsWith("-BUSY"));
        assertEquals(callAdmin(management, "POST /v1/servers/s0/resume"), "200");
        answerAll(servers[0]);
        assertAnsweredWithin(client, 2, 20);
        gateway.destroyForcibly().waitFor();
        Files.delete(sharedFolder.resolve("tinford-n0.record"));
        Files.createDirectory(sharedFolder.resolve("tinford-n0.record"));
        gateway = startManaged(FreePort.find(), logFile);
        awaitLog(logFile, "handover not available folder=");
    }
}
