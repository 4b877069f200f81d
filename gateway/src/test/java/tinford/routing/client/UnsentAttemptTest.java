package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.api.AttemptOutcome.NOT_SENT;
import static tinford.api.AttemptOutcome.SUCCESS;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.hostEntry;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.Socket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Attempts of which something is unsent when client, process, server or time ends. */
public class UnsentAttemptTest extends ForwardingFixture {
    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{"closes"}, {"resets"}, {"ends its sending"}};
    }

    /** Its connection may be established long after: it must not be sent then. */
    @Test(dataProvider = "disconnects")
    public void attemptThatWaitsForAConnectionEndsWithItsClient(String way) throws Exception {
        forwards = true;
        Socket client = connect();
        write(client, ask(1));
        assertEquals(nextEvent(), "arrived");
        disconnect(client, way);
        assertEquals(nextEvent(), "left");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }

    /** The request is answered at the end of the process, so its attempt must not be sent. */
    @Test
    public void attemptThatWaitsForAConnectionEndsWithTheProcess() throws Exception {
        forwards = true;
        Socket client = connect();
        write(client, ask(1));
        assertEquals(nextEvent(), "arrived");
        runBatch(() -> clients.closeWhenAnswered(() -> {}));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        assertEquals(nextEvent(), "left");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }

    @DataProvider
    public Object[][] serverChanges() {
        return new Object[][] {
            {"draining"}, {"gone"}, {"not listed"}, {"moved"}, {"started anew"}, {"excluded"}
        };
    }

    /** Nothing of it is sent, so it can go to another server rather than to one that leaves. */
    @Test(dataProvider = "serverChanges")
    public void attemptThatWaitsForAConnectionDoesNotReachALeavingServer(String change)
            throws Exception {
        forwards = true;
        write(connect(), ask(1));
        assertEquals(nextEvent(), "arrived");
        runBatch(() -> changeServer(change));
        assertEquals(nextEvent(), ended(NOT_SENT));
    }

    private void changeServer(String change) {
        switch (change) {
            case "not listed" -> updateEndpoints(true, hostEntry("s1", slowServer, "ready", 0));
            case "moved" -> updateEndpoints(false, hostEntry("s0", slowServer, "ready", 0));
            case "started anew" -> updateEndpoints(false, hostEntry("s0", fullServer, "ready", 77));
            case "excluded" -> servers.applyExclusion("suspend 5 s0");
            default -> updateEndpoints(false, hostEntry("s0", fullServer, change, 0));
        }
    }

    /** An attempt with a send deadline is given up after it, however long its connection takes. */
    @Test
    public void attemptNotSentInItsTimeIsGivenUp() throws Exception {
        forwards = true;
        sendWithinMs = 50;
        write(connect(), ask(1));
        assertEquals(nextEvent(), "arrived");
        assertEquals(nextEvent(), ended(NOT_SENT));
        useSlowServer();
        sendWithinMs = TIMEOUT_MS;
        write(connect(), ask(2));
        Socket server = acceptAtSlowServer();
        assertTrue(read(server, ask(2).length()).startsWith("*4"));
        assertEquals(nextEvent(), "arrived");
        write(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        assertEquals(nextEvent(), ended(SUCCESS));
    }

    /** A command that its server does not read is not sent completely, and the rest never is. */
    @Test
    public void longCommandHalfWrittenEndsWithItsClient() throws Exception {
        forwards = true;
        useSlowServer();
        Socket client = connect();
        write(client, longCommand(1));
        acceptAtSlowServer();
        assertEquals(nextEvent(), "arrived");
        disconnect(client, "closes");
        assertEquals(nextEvent(), "left");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }
}
