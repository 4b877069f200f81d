package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.TIMEOUT_MS;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.xnio.Options;
import org.xnio.StreamConnection;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;

/** Closes of client connections by the gateway: responses are complete and no request is lost. */
public class ConnectionCloseTest extends ClosingFixture {
    private static final int PART_BYTES = 64 << 10;
    private static final int SMALL_BUFFER_BYTES = 4096;

    /** The connection is to close while the response before a malformed command is still due. */
    @Test
    public void commandBehindAMalformedOneIsNotRead() throws Exception {
        failsRequests = false;
        Socket client = connect();
        write(client, askCommand(1) + "+nonsense\r\n");
        ClientRequest request = nextRequest();
        write(client, askCommand(2));
        runBatch(() -> {});
        runBatch(() -> clients.closeWhenAnswered(() -> {}));
        runBatch(() -> clients.fail(request));
        advanceTime(50);
        assertEquals(arrivedIds, List.of(1L));
        String text = readToEnd(client);
        assertTrue(
                text.startsWith(ABORTED + "-ERR ")
                        && text.indexOf('\n', ABORTED.length()) == text.length() - 1,
                text);
    }

    /**
     * Answers a request with a response so long that its end is unwritten when the connection is to
     * close.
     *
     * @return length of the response in bytes
     */
    private int closeBehindUnreadResponse(Socket client) throws Exception {
        failsRequests = false;
        write(client, askCommand(1));
        ClientRequest request = nextRequest();
        int[] written = new int[1];
        do { // until the socket's send buffer is full
            runBatch(
                    () -> {
                        clients.finish(request);
                        request.connection.writeStreamPart(new byte[PART_BYTES], 0, PART_BYTES);
                        written[0] += PART_BYTES;
                    });
        } while (request.connection.isAllWritten());
        failsRequests = true;
        // Far more than fits into the socket's send buffer.
        byte[] rest = new byte[8 * PART_BYTES];
        runBatch(
                () -> {
                    request.connection.writeStreamPart(rest, 0, rest.length);
                    clients.closeIdleConnections();
                    request.connection.endStream();
                });
        assertTrue(!request.connection.isAllWritten() && !request.connection.isClosed());
        return written[0] + rest.length + 2;
    }

    /** The client reads nothing for a while, and then the complete response. */
    @Test
    public void responseReadLateIsCompleteBeforeTheEnd() throws Exception {
        Socket client = connect(SMALL_BUFFER_BYTES);
        int length = closeBehindUnreadResponse(client);
        advanceTime(1500);
        assertEquals(client.getInputStream().readNBytes(length).length, length);
        assertEquals(client.getInputStream().read(), -1);
    }

    /** The client cannot know yet that the connection is to close, so its request is answered. */
    @Test
    public void requestBeforeTheEndOfSendingIsAnswered() throws Exception {
        Socket client = connect(SMALL_BUFFER_BYTES);
        int length = closeBehindUnreadResponse(client);
        write(client, askCommand(2));
        awaitInputProcessed();
        assertEquals(client.getInputStream().readNBytes(length).length, length);
        assertEquals(readToEnd(client), ABORTED);
        assertEquals(arrivedIds, List.of(1L, 2L));
    }

    /** After the client has seen the end of the stream, no request is read any more. */
    @Test
    public void requestBehindTheEndOfSendingIsNeverForwarded() throws Exception {
        Socket client = connect();
        Socket other = connect();
        write(client, askCommand(1));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        ClientConnection connection = nextRequest().connection;
        write(other, askCommand(2).substring(0, 30));
        write(client, askCommand(3).substring(0, 30));
        runBatch(() -> {});
        write(client, askCommand(3).substring(30));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        runBatch(clients::closeIdleConnections);
        assertEquals(client.getInputStream().read(), -1);
        write(client, askCommand(4) + "x".repeat(200_000) + askCommand(5));
        // A command that had arrived in part before the close is answered.
        write(other, askCommand(2).substring(30));
        assertEquals(read(other, ABORTED.length()), ABORTED);
        runBatch(() -> {});
        assertFalse(connection.isClosed());
        advanceTime(1000);
        assertTrue(connection.isClosed());
        assertEquals(arrivedIds, List.of(1L, 3L, 2L));
    }

    @DataProvider
    public Object[][] writtenBeforeClose() {
        return new Object[][] {{true}, {false}};
    }

    /** A request crosses the close of an idle connection. */
    @Test(dataProvider = "writtenBeforeClose")
    public void requestThatCrossesAnIdleCloseIsAnsweredOrNeverRead(boolean before)
            throws Exception {
        Socket client = connect();
        write(client, askCommand(1));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        ClientConnection connection = nextRequest().connection;
        runBatch(
                () -> {
                    if (before) {
                        write(client, askCommand(2));
                    }
                    connection.checkTimeouts(dispatcher.nowMs() + 15_000);
                    if (!before) {
                        try {
                            write(client, askCommand(2));
                        } catch (UncheckedIOException e) {
                            // The client has seen the close and cannot write.
                        }
                    }
                });
        if (before) {
            assertEquals(read(client, ABORTED.length()), ABORTED);
        } else {
            assertEquals(readToEnd(client), "");
            assertEquals(arrivedIds, List.of(1L));
        }
    }

    /** Nagle's algorithm must be off: a reset would discard a small write that it delays. */
    @Test
    public void smallWritesAreSentAtOnce() throws Exception {
        Socket client = connect();
        write(client, askCommand(1));
        ClientConnection accepted = nextRequest().connection;
        assertEquals(read(client, ABORTED.length()), ABORTED);
        assertTrue(hasNoDelay(accepted), "accepted");
        ServerSocket server = new ServerSocket(0, 1, LOOPBACK);
        resources.add(server);
        CountDownLatch established = new CountDownLatch(1);
        OutgoingConnection[] outgoing = new OutgoingConnection[1];
        runBatch(() -> outgoing[0] = new OutgoingConnection(server, established));
        assertTrue(established.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(hasNoDelay(outgoing[0]), "opened");
    }

    private static boolean hasNoDelay(Connection connection) throws Exception {
        Field field = Connection.class.getDeclaredField("connection");
        field.setAccessible(true);
        return ((StreamConnection) field.get(connection)).getOption(Options.TCP_NODELAY);
    }

    /** An outgoing connection like those to servers, the counter and discovery. */
    private final class OutgoingConnection extends Connection {
        private final CountDownLatch established;

        OutgoingConnection(ServerSocket server, CountDownLatch established) {
            super(dispatcher.loop(), 100, 100);
            this.established = established;
            open(new InetSocketAddress(LOOPBACK, server.getLocalPort()), 60_000);
        }

        @Override
        protected DescriptorBudget.PeerKind peerKind() {
            return DescriptorBudget.PeerKind.SERVERS;
        }

        @Override
        protected void onOpened() {
            established.countDown();
        }

        @Override
        protected void onReceived() {}

        @Override
        protected void onClosed(CloseReason reason) {}
    }
}
