package tinford.routing.client;

import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.write;

import java.net.Socket;
import org.testng.annotations.Test;

/**
 * Guards against a client that waits for good: a failure while its response was written, such as an
 * exhausted heap, closed the connection of the server, and left that of the client open with a part
 * of the response.
 */
public class ResponseFailureTest extends ClosingFixture {
    private static final int VALUE_BYTES = 100;

    @Test
    public void connectionWhoseResponseFailsIsClosed() throws Exception {
        failsRequests = false;
        Socket client = connect();
        write(client, askCommand(1) + askCommand(2));
        ClientRequest request = nextRequest();
        byte[] missing = null;
        runBatch(() -> request.answer(missing, 0, VALUE_BYTES));
        String received = readToEnd(client);
        assertTrue(received.length() < VALUE_BYTES, received);
    }
}
