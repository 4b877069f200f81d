package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Server connections that fail, or are established, at the wrong moment. */
public class ServerConnectionFaultsTest extends GatewayFixture {
    private static final String REPLY = valueReply("for " + requestId(1));

    /** The server's number and the request's id, in the order of arrival. */
    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();

    /** What a server does with the first attempt of the first request. */
    private interface FirstAttemptHandler {
        void handle(TestConnection server) throws Exception;
    }

    private static void reset(TestConnection t) throws IOException {
        t.socket.setSoLinger(true, 0);
        t.socket.close();
    }

    /** Both servers answer every other request. */
    private void answerAllButFirst(FirstAttemptHandler first) {
        AtomicBoolean begun = new AtomicBoolean();
        for (int i = 0; i < 2; i++) {
            int n = i;
            acceptAll(
                    servers[n],
                    connection -> {
                        for (String s = connection.receive(); s != null; s = connection.receive()) {
                            String id = idOf(s);
                            receivedRequests.add(n + " " + id);
                            if (id.equals(requestId(1)) && !begun.getAndSet(true)) {
                                first.handle(connection);
                            } else {
                                connection.send(valueReply("for " + id));
                            }
                        }
                    });
        }
    }

    private TestConnection startGatewayWithTwoServers() throws Exception {
        receivedRequests.clear();
        return startGateway(
                endpointJson(0, servers[0], "ready"),
                endpointJson(0, servers[0], "ready") + "," + endpointJson(1, servers[1], "ready"));
    }

    private static String requestCommand(int n, String requestClass, int timeoutMs) {
        return command(
                requestClass.equals("read") ? "Q.ASK" : "Q.DO",
                requestId(7),
                requestId(n),
                terms(requestClass, requestClass.equals("marked") ? ",k=5c0f6e1a2b3d4c59" : "")
                        .replace("d=4000", "d=" + timeoutMs));
    }

    @DataProvider
    public Object[][] interruptedAnswers() {
        List<Object[]> rows = new ArrayList<>();
        for (String requestClass : new String[] {"read", "write", "marked"}) {
            for (String part : new String[] {"", "-ER", REPLY.substring(0, REPLY.length() - 1)}) {
                rows.add(new Object[] {requestClass, "reset", part});
            }
            for (String part : new String[] {"*", REPLY.substring(0, REPLY.length() - 1)}) {
                rows.add(new Object[] {requestClass, "silence", part});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    private static String allowedAnswers(String requestClass) {
        return "for "
                + requestId(1)
                + "|"
                + (requestClass.equals("read") ? "-BUSY \\d+" : "-ERR aborted");
    }

    /**
     * It is unknown whether the request ran: no success is reported, and only idempotent ones are
     * retried.
     */
    @Test(dataProvider = "interruptedAnswers")
    public void interruptedAnswerIsAnsweredOnceAndRetriedAsIdempotencyAllows(
            String requestClass, String end, String part) throws Exception {
        TestConnection client = startGatewayWithTwoServers();
        answerAllButFirst(
                t -> {
                    t.send(part);
                    if (end.equals("reset")) {
                        reset(t);
                    }
                });
        long from = System.nanoTime();
        String received = client.send(requestCommand(1, requestClass, 4000)).receive();
        assertTrue(
                System.nanoTime() - from < 1_500_000_000L,
                "answered by its timeout only: " + received);
        assertSettled(client, requestClass, received);
    }

    private void assertSettled(TestConnection client, String requestClass, String received)
            throws IOException {
        assertTrue(
                received.matches(
                        requestClass.equals("write")
                                ? "-ERR aborted"
                                : allowedAnswers(requestClass)),
                received);
        for (int n = 2; !received.equals("for " + requestId(n - 1)) || n == 2; n++) {
            assertTrue(n < 60, received);
            assertEquals(
                    client.send(command("PING") + readCommand(n)).receive(),
                    "+PONG"); // nothing of the first request's answers comes in between
            received = client.receive();
            assertTrue(
                    received.equals("for " + requestId(n)) || received.matches("-BUSY \\d+"),
                    received);
        }
        List<String> first =
                receivedRequests.stream().filter(s -> s.endsWith(requestId(1))).toList();
        assertTrue(
                requestClass.equals("read")
                        ? first.size() <= 3
                        : requestClass.equals("write")
                                ? first.size() == 1
                                : first.stream().distinct().count() == 1,
                first.toString()); // each server is a deduplication scope of its own
    }

    @DataProvider
    public Object[][] requestClasses() {
        return new Object[][] {{"read"}, {"write"}, {"marked"}};
    }

    /** Its client has had its final answer before. */
    @Test(dataProvider = "requestClasses")
    public void answerAfterTheTimeoutIsDropped(String requestClass) throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch late = new CountDownLatch(1);
        TestConnection client = startGatewayWithTwoServers();
        answerAllButFirst(
                t -> {
                    answered.await();
                    try {
                        t.send(REPLY).send(REPLY);
                    } finally {
                        late.countDown();
                    }
                });
        String received = client.send(requestCommand(1, requestClass, 500)).receive();
        answered.countDown();
        late.await();
        assertTrue(received.startsWith("-"), received);
        assertSettled(client, requestClass, received);
    }

    @DataProvider
    public Object[][] surplusAnswers() {
        return new Object[][] {{REPLY}, {"-BUSY\r\n"}, {REPLY.substring(0, 9)}};
    }

    /** The next request is sent on another connection. */
    @Test(dataProvider = "surplusAnswers")
    public void secondAnswerOnAnIdleConnectionClosesIt(String second) throws Exception {
        TestConnection client = startGateway();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        server.send(REPLY);
        assertEquals(client.receive(), "for " + requestId(1));
        awaitConnectionReuse(client);
        server.send(second);
        client.send(requestCommand(2, "write", 4000));
        TestConnection next = accept(servers[0]);
        assertTrue(next.receive().contains(requestId(2)));
        assertEquals(server.receive(), null);
        next.send(valueReply("two"));
        assertEquals(client.receive(), "two");
    }

    @DataProvider
    public Object[][] lateConnections() {
        return new Object[][] {
            {"read", true}, {"write", true}, {"read", false}, {"write", false}, {"marked", false}
        };
    }

    /** The request ended by its client or by its timeout, while its server's backlog was full. */
    @Test(dataProvider = "lateConnections")
    public void connectionEstablishedAfterItsRequestEndedCarriesNothing(
            String requestClass, boolean closes) throws Exception {
        servers[0].close();
        servers[0] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        servers[0].setSoTimeout(TIMEOUT_MS);
        closeables.add(servers[0]);
        TestConnection client =
                startGateway("\"ConnectTimeoutUs\":250000", "\"ConnectTimeoutUs\":20000000");
        TestConnection other = connectClient();
        for (int i = 0; i < 2; i++) { // what the backlog holds
            closeables.add(new Socket(InetAddress.getLoopbackAddress(), servers[0].getLocalPort()));
        }
        long from = System.nanoTime();
        client.send(requestCommand(1, requestClass, closes ? 4000 : 500));
        if (closes) {
            awaitConnectionReuse(other);
            client.socket.close();
            awaitConnectionReuse(other);
        } else {
            assertTrue(client.receive().startsWith("-BUSY")); // it has certainly not run
        }
        for (int i = 0; i < 2; i++) {
            accept(servers[0]).socket.close();
        }
        other.send(requestCommand(2, "write", 4000));
        int answered = 0;
        // a connect that was not given up succeeds with its second SYN, 1 s after the first
        for (long left = 2;
                left > 0 || answered == 0;
                left = 1500 - (System.nanoTime() - from) / 1_000_000) {
            servers[0].setSoTimeout(answered == 0 ? TIMEOUT_MS : (int) left);
            try {
                TestConnection t = accept(servers[0]);
                String s = t.receive();
                assertTrue(s == null || s.contains(requestId(2)), s);
                if (s != null) {
                    answered++;
                    t.send(valueReply("two"));
                }
            } catch (SocketTimeoutException e) {
                break;
            }
        }
        assertEquals(answered, 1);
        assertEquals(other.receive(), "two");
    }
}
