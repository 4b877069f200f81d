package tinford.routing.counter;

import static org.testng.Assert.assertEquals;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/** Calls to a shared counter that is late, changes its address, or sends malformed responses. */
public class CounterClientTest {
    private static final double LONG_MS = 60_000;
    private static final double SHORT_MS = 50;

    /** Length of a command with a one-digit key, a one-digit amount and a four-digit TTL. */
    private static final int COMMAND_LENGTH = 41;

    private final LinkedBlockingQueue<String> reported = new LinkedBlockingQueue<>();
    private RequestDispatcher dispatcher;

    @BeforeMethod
    public void start() throws Exception {
        reported.clear();
        IgnoredEvents events =
                new IgnoredEvents() {
                    @Override
                    public void counterAnswered(
                            long key, AttemptOutcome outcome, double tookMs, double total) {
                        reported.add(key + " " + outcome + " " + total);
                    }

                    @Override
                    public void counterAnsweredLate(long key, double total) {
                        reported.add(key + " late " + total);
                    }
                };
        dispatcher = new RequestDispatcher(RoutingFixtures.decisions(events), 3, 10, 1 << 20);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        dispatcher.loop().close();
    }

    private CounterClient client(int port, double connectTimeoutMs, double callTimeoutMs) {
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, port);
        return new CounterClient(dispatcher, address, connectTimeoutMs, callTimeoutMs, 1);
    }

    private void increment(CounterClient client, long key, double amount) {
        dispatcher.loop().execute(() -> client.increment(key, amount, 1000));
    }

    private String nextReport() throws InterruptedException {
        return reported.poll(10, TimeUnit.SECONDS);
    }

    /** A late response must be attributed to the call that timed out, not to the next call. */
    @Test
    public void lateResponseIsNotTakenForTheNextOne() throws Exception {
        try (ServerSocket counter = new ServerSocket(0, 1, LOOPBACK)) {
            CounterClient client = client(counter.getLocalPort(), LONG_MS, SHORT_MS);
            increment(client, 1, 2.5);
            try (Socket socket = counter.accept()) {
                assertEquals(
                        read(socket, 48),
                        "*4\r\n$7\r\nCNT.ADD\r\n$1\r\n1\r\n$8\r\n2.500000\r\n$4\r\n1000\r\n");
                assertEquals(nextReport(), "1 " + AttemptOutcome.TIMED_OUT + " 0.0");
                write(socket, "$1\r\n4\r\n");
                increment(client, 2, 1);
                read(socket, COMMAND_LENGTH);
                write(socket, "$1\r\n7\r\n");
                assertEquals(nextReport(), "1 late 4.0");
                assertEquals(nextReport(), "2 " + AttemptOutcome.SUCCESS + " 7.0");
            }
        }
    }

    /**
     * The counter's system holds the second write back until the first one is acknowledged: the
     * response was rejected as incomplete, and the connection replaced.
     */
    @Test
    public void responseInTwoWritesIsRead() throws Exception {
        try (ServerSocket counter = new ServerSocket(0, 1, LOOPBACK)) {
            CounterClient client = client(counter.getLocalPort(), LONG_MS, LONG_MS);
            increment(client, 1, 1);
            try (Socket socket = counter.accept()) {
                for (int i = 0; i < 8; i++) {
                    read(socket, COMMAND_LENGTH);
                    write(socket, "$1\r\n");
                    write(socket, "4\r\n");
                    assertEquals(nextReport(), "1 " + AttemptOutcome.SUCCESS + " 4.0");
                    increment(client, 1, 1);
                }
            }
        }
    }

    /** Responses due from the old address are awaited before calls are sent to the new address. */
    @Test
    public void moveKeepsTheOrderOfResponses() throws Exception {
        try (ServerSocket old = new ServerSocket(0, 1, LOOPBACK);
                ServerSocket next = new ServerSocket(0, 1, LOOPBACK)) {
            CounterClient client = client(old.getLocalPort(), LONG_MS, LONG_MS);
            increment(client, 1, 1);
            try (Socket before = old.accept()) {
                read(before, COMMAND_LENGTH);
                InetSocketAddress address = new InetSocketAddress(LOOPBACK, next.getLocalPort());
                dispatcher.loop().execute(() -> client.moveTo(address));
                increment(client, 1, 2);
                try (Socket after = next.accept()) {
                    write(before, "$1\r\n4\r\n");
                    assertEquals(nextReport(), "1 " + AttemptOutcome.SUCCESS + " 4.0");
                    assertEquals(before.getInputStream().read(), -1);
                    read(after, COMMAND_LENGTH);
                    write(after, "$1\r\n6\r\n");
                    assertEquals(nextReport(), "1 " + AttemptOutcome.SUCCESS + " 6.0");
                }
            }
        }
    }

    /** Text that the counter sends; how many of two calls it answers. */
    @DataProvider
    public Object[][] malformedResponses() {
        return new Object[][] {
            {"\u00c6\u00b3\r\n", 0},
            {"$2\r\nno\r\n", 0},
            {"$3\r\nNaN\r\n", 0},
            {":5\r\n", 0},
            {"-?\r\n", 0},
            {"*1\r\n$1\r\n5\r\n", 0},
            {"$-1\r\n", 0},
            {"$9\r\n1", 0},
            {"$1\r\n5\r\n$1\r\n6\r\n$1\r\n7\r\n", 2},
            {"x".repeat(3000), 0},
        };
    }

    /** Calls without a valid total may have been counted; later ones use a new connection. */
    @Test(dataProvider = "malformedResponses")
    public void malformedResponseCostsOnlyItsConnection(String text, int answered)
            throws Exception {
        try (ServerSocket counter = new ServerSocket(0, 2, LOOPBACK)) {
            CounterClient client = client(counter.getLocalPort(), LONG_MS, LONG_MS);
            increment(client, 1, 1);
            increment(client, 2, 1);
            try (Socket socket = counter.accept()) {
                read(socket, 2 * COMMAND_LENGTH);
                write(socket, text);
                String lost = " " + AttemptOutcome.CONNECTION_LOST + " 0.0";
                String success = " " + AttemptOutcome.SUCCESS;
                assertEquals(nextReport(), answered == 2 ? "1" + success + " 5.0" : "1" + lost);
                assertEquals(nextReport(), answered == 2 ? "2" + success + " 6.0" : "2" + lost);
                try (Socket next = counter.accept()) {
                    increment(client, 3, 1);
                    read(next, COMMAND_LENGTH);
                    write(next, "$1\r\n8\r\n");
                    assertEquals(nextReport(), "3" + success + " 8.0");
                }
            }
        }
    }

    /** The client reconnects without a call that fails first. */
    @Test
    public void connectsAgainWhenTheCounterComesBack() throws Exception {
        int port = FreePort.find();
        CounterClient client = client(port, 20, SHORT_MS);
        dispatcher.loop().execute(client::connect);
        try (ServerSocket counter = new ServerSocket(port, 1, LOOPBACK)) {
            counter.setSoTimeout(10_000);
            counter.accept().close();
            counter.accept().close();
        }
    }
}
