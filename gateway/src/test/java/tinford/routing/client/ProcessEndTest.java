package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.REJECTED;
import static tinford.routing.RoutingFixtures.TIMEOUT_MS;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.routing.counter.CounterClient;

/** End of the process: all requests read are answered, and all pending data is written. */
public class ProcessEndTest extends ClosingFixture {
    /** Length of a command with a one-digit key, a one-digit amount and a four-digit TTL. */
    private static final int COMMAND_LENGTH = 41;

    /** The grace period ends before the last connections in the backlog have been accepted. */
    @Test
    public void connectionsAcceptedLastAreAnsweredBeforeTheEnd() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        Socket[] client = new Socket[1];
        boolean[] early = new boolean[1];
        runBatch(
                () -> {
                    client[0] = connectWithinBatch();
                    write(client[0], askCommand(1));
                    clients.stopAccepting(
                            0,
                            () -> {
                                early[0] |= arrivedIds.isEmpty();
                                ended.countDown();
                            });
                });
        assertEquals(readToEnd(client[0]), ABORTED);
        client[0].close();
        assertTrue(ended.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertFalse(early[0], "ended before the request arrived");
    }

    /** Connects while the batch occupies the I/O thread. */
    private Socket connectWithinBatch() {
        try {
            return connect();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Counter calls caused by the last disconnect are written before the process may end. */
    @Test
    public void unitsAreGivenBackBeforeTheEnd() throws Exception {
        returnsUnits = true;
        failsRequests = false;
        ServerSocket counterServer = new ServerSocket(0, 1, LOOPBACK);
        resources.add(counterServer);
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, counterServer.getLocalPort());
        CounterClient counter = new CounterClient(dispatcher, address, 60_000, 60_000, 1);
        dispatcher.attach(clients, null, counter, null, null);
        runBatch(() -> actions.incrementCounter(1, 1, 1000));
        Socket counterSocket = counterServer.accept();
        resources.add(counterSocket);
        assertEquals(read(counterSocket, COMMAND_LENGTH).length(), COMMAND_LENGTH);
        write(counterSocket, "$1\r\n1\r\n");
        Socket client = connect();
        write(client, askCommand(1));
        nextRequest();
        LinkedBlockingQueue<String> counted = new LinkedBlockingQueue<>();
        runBatch(() -> clients.closeWhenAnswered(() -> counted.add(readCommand(counterSocket))));
        client.close();
        String command = counted.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(command != null && command.contains("\r\n-1\r\n"), command);
    }

    /** Reads with a short timeout: data not written by now would be lost with the process. */
    private static String readCommand(Socket counterSocket) {
        try {
            counterSocket.setSoTimeout(1000);
            return read(counterSocket, COMMAND_LENGTH + 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Open requests are answered; later requests and partial commands are rejected. */
    @Test
    public void nothingReadIsLeftUnansweredAtTheEnd() throws Exception {
        failsRequests = false;
        Socket waiting = connect();
        Socket partial = connect();
        Socket both = connect();
        write(waiting, askCommand(1) + askCommand(2));
        write(partial, askCommand(3).substring(0, 40));
        write(both, askCommand(4) + askCommand(5).substring(0, 40));
        nextRequest();
        nextRequest();
        nextRequest();
        awaitInputProcessed();
        CountDownLatch ended = new CountDownLatch(1);
        runBatch(() -> clients.closeWhenAnswered(ended::countDown));
        advanceTime(3019);
        int available = partial.getInputStream().available() + waiting.getInputStream().available();
        assertEquals(available, 0);
        runBatch(
                () -> {
                    write(waiting, askCommand(7));
                    nanoTime.addAndGet(1_000_000L);
                });
        assertEquals(readToEnd(waiting), REJECTED.repeat(3));
        assertEquals(readToEnd(partial), REJECTED);
        assertEquals(read(both, 2 * REJECTED.length()), REJECTED.repeat(2));
        assertEquals(ended.getCount(), 1);
        advanceTime(20);
        assertTrue(ended.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(arrivedIds.size(), 3, arrivedIds.toString());
    }
}
