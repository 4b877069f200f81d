package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.LOOPBACK;
import static tinford.routing.RoutingFixtures.PING;
import static tinford.routing.RoutingFixtures.PONG;
import static tinford.routing.RoutingFixtures.askCommand;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.DecisionModule;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.FreePort;
import tinford.testing.IgnoredEvents;

/**
 * Connections that are closed for new ones, or at the end of the process, while a request arrives
 * or a response is unwritten.
 */
public class ConnectionReclaimTest {
    private static final int REQUEST_TIMEOUT_MS = 900;
    private RequestDispatcher dispatcher;
    private ClientPool clients;
    private int port;

    /** Called within the batch in which a request was answered. */
    private Runnable onAnswered;

    @BeforeMethod
    public void start() throws Exception {
        onAnswered = () -> {};
        DecisionModule failing =
                (now, batch, actions) ->
                        batch.replay(
                                new IgnoredEvents() {
                                    @Override
                                    public void requestArrived(Request request) {
                                        actions.fail(request);
                                        onAnswered.run();
                                    }
                                });
        dispatcher = new RequestDispatcher(failing, 3, 10, 1 << 20);
        clients =
                new ClientPool(
                        dispatcher,
                        RoutingFixtures.catalog(
                                RoutingFixtures.requestClass("f", 8000, Idempotency.IDEMPOTENT)),
                        RoutingFixtures.clientLimits());
        dispatcher.attach(clients, null, null, null, null);
        port = FreePort.find();
        clients.listen(new InetSocketAddress(LOOPBACK, port), false);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        dispatcher.loop().close();
    }

    @DataProvider
    public Object[][] closes() {
        return new Object[][] {
            {"reclaim"}, {"process end"}, {"process end, crossed"}, {"close idle, crossed"}
        };
    }

    /**
     * A request is answered if it has arrived before its connection would be closed, even if it has
     * not been read yet. So is a request that arrives in the same batch, just after the start of
     * the close.
     */
    @Test(dataProvider = "closes")
    public void unreadRequestKeepsItsConnection(String how) throws Exception {
        try (Socket longestIdle = new Socket(LOOPBACK, port);
                Socket recentlyUsed = new Socket(LOOPBACK, port)) {
            for (Socket socket : List.of(longestIdle, recentlyUsed)) {
                socket.setSoTimeout(10_000);
                write(socket, PING);
                assertEquals(read(socket, PONG.length()), PONG);
            }
            boolean crossed = how.endsWith("crossed");
            dispatcher
                    .loop()
                    .execute(
                            () -> {
                                if (!crossed) {
                                    write(longestIdle, askCommand(1, REQUEST_TIMEOUT_MS));
                                }
                                beginClose(how.split(",")[0]);
                                if (crossed) {
                                    write(longestIdle, askCommand(1, REQUEST_TIMEOUT_MS));
                                }
                            });
            assertEquals(read(longestIdle, ABORTED.length()), ABORTED);
            assertEquals(recentlyUsed.getInputStream().read(), -1);
        }
    }

    private void beginClose(String how) {
        switch (how) {
            case "reclaim" -> clients.reclaimConnections(ConnectionActivity.JUST_OPENED);
            case "process end" -> clients.closeWhenAnswered(() -> {});
            default -> clients.closeIdleConnections();
        }
    }

    /** Connections are reclaimed in the batch in which a request is answered. */
    @Test
    public void responseOfTheSameBatchIsWritten() throws Exception {
        onAnswered = () -> clients.reclaimConnections(ConnectionActivity.BUSY);
        try (Socket socket = new Socket(LOOPBACK, port)) {
            socket.setSoTimeout(10_000);
            write(socket, askCommand(1, REQUEST_TIMEOUT_MS));
            assertEquals(read(socket, ABORTED.length()), ABORTED);
        }
    }
}
