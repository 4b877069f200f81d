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

/**
 * Attempts whose command is not sent completely when the client disconnects, the process ends, the
 * server leaves, or the time to send expires.
 */
public class UnsentAttemptTest extends ForwardingFixture {
    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{"closes"}, {"resets"}, {"shuts down its output"}};
    }

    /** The attempt must not be sent if its connection is established after the disconnect. */
    @Test(dataProvider = "disconnects")
    public void attemptThatWaitsForAConnectionEndsWithItsClient(String way) throws Exception {
        forwardsRequests = true;
        Socket client = connect();
        write(client, askCommand(1));
        assertEquals(nextEvent(), "arrived");
        disconnect(client, way);
        assertEquals(nextEvent(), "disconnected");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }

    /** The request is answered at the end of the process, so its attempt must not be sent. */
    @Test
    public void attemptThatWaitsForAConnectionEndsWithTheProcess() throws Exception {
        forwardsRequests = true;
        Socket client = connect();
        write(client, askCommand(1));
        assertEquals(nextEvent(), "arrived");
        runBatch(() -> clients.closeWhenAnswered(() -> {}));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        assertEquals(nextEvent(), "disconnected");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }

    @DataProvider
    public Object[][] serverChanges() {
        return new Object[][] {
            {"draining"}, {"gone"}, {"not listed"}, {"moved"}, {"started anew"}, {"excluded"}
        };
    }

    /** An attempt that has not been sent yet must not be sent to a server that is leaving. */
    @Test(dataProvider = "serverChanges")
    public void attemptThatWaitsForAConnectionDoesNotReachALeavingServer(String change)
            throws Exception {
        forwardsRequests = true;
        write(connect(), askCommand(1));
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

    /** An attempt ends at its send deadline, even if its connection is not established by then. */
    @Test
    public void attemptNotSentInItsTimeIsGivenUp() throws Exception {
        forwardsRequests = true;
        sendWithinMs = 50;
        write(connect(), askCommand(1));
        assertEquals(nextEvent(), "arrived");
        assertEquals(nextEvent(), ended(NOT_SENT));
        useSlowServer();
        sendWithinMs = TIMEOUT_MS;
        write(connect(), askCommand(2));
        Socket server = acceptAtSlowServer();
        assertTrue(read(server, askCommand(2).length()).startsWith("*4"));
        assertEquals(nextEvent(), "arrived");
        write(server, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
        assertEquals(nextEvent(), ended(SUCCESS));
    }

    /** The rest of a command is never sent if the client disconnects before the server reads it. */
    @Test
    public void longCommandHalfWrittenEndsWithItsClient() throws Exception {
        forwardsRequests = true;
        useSlowServer();
        Socket client = connect();
        write(client, longCommand(1));
        acceptAtSlowServer();
        assertEquals(nextEvent(), "arrived");
        disconnect(client, "closes");
        assertEquals(nextEvent(), "disconnected");
        assertEquals(nextEvent(), ended(NOT_SENT));
    }
}
