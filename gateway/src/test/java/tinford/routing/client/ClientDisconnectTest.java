package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.PING;
import static tinford.routing.RoutingFixtures.PONG;
import static tinford.routing.RoutingFixtures.REJECTED;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.Socket;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The disconnect of a client is noticed even behind data that has not been read. */
public class ClientDisconnectTest extends ForwardingFixture {
    private static final int PARTIAL_LENGTH = 70_000;

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{"closes"}, {"resets"}, {"shuts down its output"}};
    }

    /** The disconnect is looked for before each attempt, even if the socket has not been read. */
    @Test(dataProvider = "disconnects")
    public void disconnectIsSeenBeforeItIsRead(String way) throws Exception {
        checksClients = true;
        Socket client = connect();
        runBatch(
                () -> {
                    write(client, askCommand(1));
                    disconnect(client, way);
                });
        write(connect(), askCommand(2));
        String event = nextEvent();
        while (!event.equals("arrived 2, client connected")) {
            assertTrue(
                    event.equals("arrived 1, client gone") || event.equals("disconnected"), event);
            event = nextEvent();
        }
    }

    /** The beginning of a command that takes all the memory for commands being received. */
    private static String partialCommand(int id) {
        return longCommand(id).substring(0, PARTIAL_LENGTH);
    }

    private static String unreadText(String kind) {
        return switch (kind) {
            case "noise" -> "noise\r\n\r\n" + "x".repeat(3000);
            case "noise without end" -> "x".repeat(900_000);
            case "a command that there is no room for" -> partialCommand(9);
            default ->
                    IntStream.range(2, 80)
                            .mapToObj(ForwardingFixture::askCommand)
                            .collect(Collectors.joining());
        };
    }

    @DataProvider
    public Object[][] unreadKinds() {
        return new Object[][] {
            {"noise"},
            {"noise without end"},
            {"a command that there is no room for"},
            {"many unanswered commands"}
        };
    }

    /** The disconnect is noticed while a request is open, whatever was sent before the close. */
    @Test(dataProvider = "unreadKinds", timeOut = 3 * TIMEOUT_MS)
    public void disconnectIsSeenBehindWhatIsNotRead(String kind) throws Exception {
        // Takes all the memory for commands being received, and is never completed.
        write(connect(), partialCommand(8));
        Socket client = connect();
        write(client, askCommand(1));
        assertEquals(nextEvent(), "arrived");
        write(client, unreadText(kind));
        disconnect(client, "closes");
        String event = nextEvent();
        while (event.equals("arrived")) {
            event = nextEvent();
        }
        assertEquals(event, "disconnected");
    }

    /** A long command without a buffer is rejected behind an open request; later ones are read. */
    @Test(timeOut = 3 * TIMEOUT_MS)
    public void commandBehindADiscardedOneIsAnsweredInOrder() throws Exception {
        write(connect(), partialCommand(8));
        Socket client = connect();
        forwardsRequests = true;
        useSlowServer();
        write(client, askCommand(1));
        Socket server = acceptAtSlowServer();
        write(client, longCommand(9) + PING);
        write(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        String responses = "$2\r\nok\r\n" + REJECTED + PONG;
        assertEquals(read(client, responses.length()), responses);
    }
}
