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

/** The end of a client is seen, also behind what is not read yet. */
public class ClientDisconnectTest extends ForwardingFixture {
    private static final int PARTIAL_LENGTH = 70_000;

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{"closes"}, {"resets"}, {"ends its sending"}};
    }

    /** Looked for before each attempt, when neither the end nor what is before it may be read. */
    @Test(dataProvider = "disconnects")
    public void disconnectIsSeenBeforeItIsRead(String way) throws Exception {
        checksClients = true;
        Socket client = connect();
        runBatch(
                () -> {
                    write(client, ask(1));
                    disconnect(client, way);
                });
        write(connect(), ask(2));
        String event = nextEvent();
        while (!event.equals("arrived 2 and there")) {
            assertTrue(event.equals("arrived 1 and gone") || event.equals("left"), event);
            event = nextEvent();
        }
    }

    /** The beginning of a command that takes all room for those that arrive. */
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
                            .mapToObj(ForwardingFixture::ask)
                            .collect(Collectors.joining());
        };
    }

    @DataProvider
    public Object[][] unreadKinds() {
        return new Object[][] {
            {"noise"},
            {"noise without end"},
            {"a command that there is no room for"},
            {"many that wait"}
        };
    }

    /** While a request is open, whatever lies before the end on the connection. */
    @Test(dataProvider = "unreadKinds", timeOut = 3 * TIMEOUT_MS)
    public void disconnectIsSeenBehindWhatIsNotRead(String kind) throws Exception {
        // Takes the room, and never ends.
        write(connect(), partialCommand(8));
        Socket client = connect();
        write(client, ask(1));
        assertEquals(nextEvent(), "arrived");
        write(client, unreadText(kind));
        disconnect(client, "closes");
        String event = nextEvent();
        while (event.equals("arrived")) {
            event = nextEvent();
        }
        assertEquals(event, "left");
    }

    /** A command without room behind an open request is rejected; what follows it is read. */
    @Test(timeOut = 3 * TIMEOUT_MS)
    public void commandBehindADiscardedOneIsAnsweredInOrder() throws Exception {
        write(connect(), partialCommand(8));
        Socket client = connect();
        forwards = true;
        useSlowServer();
        write(client, ask(1));
        Socket server = acceptAtSlowServer();
        write(client, longCommand(9) + PING);
        write(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        String responses = "$2\r\nok\r\n" + REJECTED + PONG;
        assertEquals(read(client, responses.length()), responses);
    }
}
