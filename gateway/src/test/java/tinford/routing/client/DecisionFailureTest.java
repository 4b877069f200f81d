package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static tinford.api.AttemptOutcome.CONNECTION_LOST;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.Socket;
import org.testng.annotations.Test;

/** Requests get a final answer if the decision module throws. */
public class DecisionFailureTest extends ForwardingFixture {
    /** Guards against a request that is never answered because its arrival was not handled. */
    @Test
    public void requestThatIsNotDecidedOnIsAnsweredAsFailed() throws Exception {
        arrivalFailure = new OutOfMemoryError();
        Socket client = connect();
        write(client, askCommand(1));
        assertEquals(read(client, ABORTED.length()), ABORTED);
        arrivalFailure = null;
        write(client, askCommand(2));
        assertEquals(nextEvent(), "arrived");
        assertEquals(nextEvent(), "arrived");
    }

    /**
     * Guards against a request that is never answered because the end of its only attempt was not
     * handled.
     */
    @Test
    public void requestWhoseAttemptEndsWithoutADecisionIsAnsweredAsFailed() throws Exception {
        forwardsRequests = true;
        useSlowServer();
        attemptEndFailure = new OutOfMemoryError();
        Socket client = connect();
        write(client, askCommand(1));
        Socket server = acceptAtSlowServer();
        read(server, askCommand(1).length());
        server.close();
        assertEquals(read(client, ABORTED.length()), ABORTED);
        assertEquals(nextEvent(), "arrived");
        assertEquals(nextEvent(), ended(CONNECTION_LOST));
    }
}
