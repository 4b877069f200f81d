package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.sendChunk;
import static tinford.program.Wire.valueReply;

import java.net.SocketTimeoutException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The endpoint lists that discovery sends. */
public class DiscoveryTest extends GatewayFixture {
    /** How late discovery's first list is; less than the gateway waits for it. */
    private static final long DISCOVERY_DELAY_MS = 150;

    @DataProvider
    public Object[][] discoveries() {
        return new Object[][] {{"automatic"}, {"subscribe"}};
    }

    /** Whether the watch is opened at once or on request. */
    @Test(dataProvider = "discoveries")
    public void watchIsResumedAndDrainingServersAreKept(String how) throws Exception {
        TestConnection client =
                startGateway("\"Discovery\":\"automatic\"", "\"Discovery\":\"" + how + "\"");
        TestConnection watch = accept(discovery);
        assertEquals(watch.readLine(), "GET /registry/instances?watch=1&after=41 HTTP/1.1");
        sendChunk(
                watch,
                "\n{\"seq\":43,\"whole\":false,\"hosts\":["
                        + endpointJson(1, servers[1], "ready")
                        + "]}\n",
                true);
        watch.socket.close();
        watch = accept(discovery);
        assertEquals(watch.readLine(), "GET /registry/instances?watch=1&after=43 HTTP/1.1");
        sendChunk(
                watch,
                "{\"seq\":44,\"whole\":false,\"hosts\":["
                        + endpointJson(0, servers[0], "draining")
                        + "]}\n",
                true);
        sendChunk(watch, "{\"seq\":\"no number\"}\n", false);
        watch = accept(discovery); // after the list: what is asked from now on knows of the drain
        assertEquals(watch.readLine(), "GET /registry/instances?watch=1&after=44 HTTP/1.1");
        for (int i = 0; i < 6; i++) {
            client.send(readCommand(i));
            TestConnection server = accept(servers[1]);
            server.receive();
            server.send(valueReply("ok"));
            assertEquals(client.receive(), "ok");
            server.socket.close();
        }
        awaitLog(logFile, "invalid response from discovery discovery=");
        awaitLog(logFile, "error=\"expected discovery: seq: expected a whole number\"");
    }

    /** A client accepted before would have its request sent where the known list says. */
    @Test
    public void firstEndpointListIsReadBeforeTheFirstClientIsAccepted() throws Exception {
        Thread agent =
                startDaemon(
                        () -> {
                            TestConnection watch = accept(discovery);
                            watch.readLine();
                            Thread.sleep(DISCOVERY_DELAY_MS);
                            sendChunk(
                                    watch,
                                    "{\"seq\":42,\"whole\":false,\"hosts\":["
                                            + endpointJson(0, servers[0], "draining")
                                            + ","
                                            + endpointJson(1, servers[1], "ready")
                                            + "]}\n",
                                    true);
                        });
        TestConnection client = startGateway();
        for (int i = 0; i < 4; i++) {
            client.send(readCommand(i));
            TestConnection server = accept(servers[1]);
            server.receive();
            server.send(valueReply("ok"));
            assertEquals(client.receive(), "ok");
            server.socket.close();
        }
        agent.join();
        servers[0].setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, () -> accept(servers[0]));
    }
}
