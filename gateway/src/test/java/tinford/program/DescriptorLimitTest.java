package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendChunk;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.testing.FreePort;
import tinford.transport.HandoverLock;

/** Many idle clients, under the descriptor limit that the operating system enforces. */
public class DescriptorLimitTest extends GatewayFixture {
    private int limit;

    /** The operating system refuses descriptors beyond the configured limit. */
    @Override
    List<String> commandLine() {
        List<String> line =
                new ArrayList<>(
                        List.of("/bin/sh", "-c", "ulimit -n " + limit + "; exec \"$@\"", "sh"));
        line.addAll(super.commandLine());
        return line;
    }

    /** No client connection reaches its idle timeout. */
    @Override
    String configuration() {
        return super.configuration()
                .replace("\"sockets\":1024", "\"sockets\":" + limit)
                .replace("\"KeepaliveUs\":15000000", "\"KeepaliveUs\":600000000");
    }

    private int openDescriptors() throws IOException {
        try (var all = Files.list(Path.of("/proc/" + gateway.pid() + "/fd"))) {
            return (int) all.count();
        }
    }

    /** Sends a list with server s1 in place of s0 to every watch. */
    private void sendListToEachWatch(ServerSocket server) {
        startDaemon(
                () -> {
                    while (!server.isClosed()) {
                        try {
                            sendList(accept(server));
                        } catch (IOException e) {
                            // closed by the gateway before discovery was back
                        }
                    }
                });
    }

    private void sendList(TestConnection watch) throws IOException {
        if (watch.readLine() != null) {
            String server = endpointJson(1, servers[1], "ready");
            sendChunk(watch, "{\"seq\":43,\"whole\":true,\"hosts\":[" + server + "]}\n", true);
        }
    }

    /** A new client is answered before a silent one would be closed by its timeout. */
    private String receiveAnswerInTime(int n) throws IOException {
        long from = System.nanoTime();
        String received = connectClient().send(readCommand(n)).receive();
        assertTrue(
                System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1500),
                "answered late: " + received);
        return received;
    }

    /**
     * The configured descriptors; whether another process of the gateway runs; whether the idle
     * clients have sent a command; whether discovery is down meanwhile.
     */
    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            {64, false, false, false},
            {64, false, true, true},
            {96, false, true, false},
            {128, false, false, true},
            {128, true, false, false},
            {128, true, true, true},
            {256, true, true, false},
            {1024, true, true, false},
        };
    }

    @Test(dataProvider = "crowds")
    public void idleClientsLeaveTheDescriptorsThatTheGatewayNeeds(
            int sockets, boolean hasOtherProcess, boolean sendsPing, boolean isDiscoveryDown)
            throws Exception {
        limit = sockets;
        if (hasOtherProcess) {
            createSharedFolder();
            // this test plays the other process
            assertTrue(new HandoverLock(sharedFolder, "n0").isOnlyProcess());
            gateway = startManaged(FreePort.find(), logFile);
        } else {
            startGateway();
        }
        TestConnection watch = accept(discovery);
        assertEquals(watch.readLine(), "GET /registry/instances?watch=1&after=41 HTTP/1.1");
        sendChunk(watch, "\n", true);
        List<TestConnection> lanes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            lanes.add(accept(counter));
        }
        int most = openDescriptors();
        for (int i = 0; i < 2 * sockets; i++) {
            try {
                TestConnection t = connectClient();
                t.send(sendsPing ? command("PING") : "");
            } catch (IOException e) {
                // refused
            }
            most = Math.max(most, openDescriptors());
        }
        int discoveryPort = discovery.getLocalPort();
        if (isDiscoveryDown) {
            discovery.close();
        }
        watch.socket.close();
        for (TestConnection t : lanes) {
            t.socket.close();
        }
        for (int i = 0; i < 4; i++) {
            accept(counter);
        }
        answerAll(servers[0]);
        assertEquals(receiveAnswerInTime(1), "for " + requestId(1));
        most = Math.max(most, openDescriptors());
        servers[0].close();
        answerAll(servers[1]);
        ServerSocket back =
                isDiscoveryDown
                        ? new ServerSocket(discoveryPort, 50, InetAddress.getLoopbackAddress())
                        : discovery;
        closeables.add(back);
        sendListToEachWatch(back);
        String received = "";
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
        for (int n = 2; !received.startsWith("for ") && System.nanoTime() < until; n++) {
            received = receiveAnswerInTime(n); // rejected until the list is read
        }
        assertTrue(received.startsWith("for "), received);
        most = Math.max(most, openDescriptors());
        assertTrue(most < sockets, most + " descriptors");
    }

    /** All other connections had a command in progress when it connected. */
    @Test
    public void clientInTheBacklogIsAcceptedOnceOthersAreIdle() throws Exception {
        limit = 64;
        List<TestConnection> work = new ArrayList<>(List.of(startGateway()));
        TestConnection waits = null;
        for (int i = 0; waits == null && i < limit; i++) {
            TestConnection t = connectClient().send(command("PING") + "*1\r\n$4\r\nPI");
            t.socket.setSoTimeout(500);
            try {
                assertEquals(t.receive(), "+PONG");
                work.add(t);
            } catch (SocketTimeoutException e) {
                waits = t;
            }
        }
        for (TestConnection t : work.subList(1, work.size())) {
            t.send("NG\r\n");
        }
        waits.socket.setSoTimeout(1500);
        assertEquals(waits.receive(), "+PONG");
    }
}
