package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.routing.RoutingFixtures.PING;
import static tinford.routing.RoutingFixtures.PONG;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.net.Socket;
import org.testng.annotations.Test;

/** Guards against responses that are lost because their client reads them slowly. */
public class SlowReaderTest extends ClosingFixture {
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;
    private static final int VALUE_BYTES = 60_000;

    /** Together they exceed what the system buffers for one connection. */
    private static final int COMMANDS = 200;

    /** The connection was reset once more than 1 MiB of its responses was unwritten. */
    @Test
    public void commandsWaitWhileTheirClientDoesNotReadResponses() throws Exception {
        answer = "v".repeat(VALUE_BYTES).getBytes();
        Socket client = connect(RECEIVE_BUFFER_BYTES);
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS; i++) {
            commands.append(askCommand(i)).append(PING);
        }
        write(client, commands.toString());
        awaitInputProcessed();
        assertTrue(arrivedIds.size() < COMMANDS, arrivedIds.size() + " commands were read");
        String response = "$" + VALUE_BYTES + "\r\n" + new String(answer) + "\r\n" + PONG;
        for (int i = 0; i < COMMANDS; i++) {
            assertEquals(read(client, response.length()), response, "response " + i);
        }
        assertEquals(arrivedIds.size(), COMMANDS);
    }
}
