package tinford.program;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The shared counter, on all connections that a gateway opens to it. */
final class CounterFixture {
    static final String CONNECTION_CLOSED = "connection closed";
    private static final int GATEWAY_CONNECTIONS = 4;

    private record Call(TestConnection connection, String text) {}

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    /** Those that were opened at the gateway's start, and any that were opened later. */
    final List<TestConnection> connections = new CopyOnWriteArrayList<>();

    /** Where the call came from that was received last. */
    TestConnection last;

    /** Accepts the connections that the gateway opens at its start, and then all later ones. */
    CounterFixture(GatewayFixture fixture) throws IOException {
        ServerSocket server = fixture.counter;
        for (int i = 0; i < GATEWAY_CONNECTIONS; i++) {
            follow(fixture.accept(server));
        }
        GatewayFixture.startDaemon(
                () -> {
                    while (true) {
                        follow(fixture.accept(server));
                    }
                });
    }

    private void follow(TestConnection connection) {
        connections.add(connection);
        GatewayFixture.startDaemon(
                () -> {
                    for (String s = connection.receive(); s != null; s = connection.receive()) {
                        calls.add(new Call(connection, s));
                    }
                    calls.add(new Call(connection, CONNECTION_CLOSED));
                });
    }

    /** The next call on any of the connections, or {@link #CONNECTION_CLOSED}. */
    String receive() throws InterruptedException {
        Call next = calls.poll(GatewayFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(next != null, "no call received");
        last = next.connection();
        return next.text();
    }

    /** Answers on the connection of the last call. */
    CounterFixture send(String text) throws IOException {
        last.send(text);
        return this;
    }
}
