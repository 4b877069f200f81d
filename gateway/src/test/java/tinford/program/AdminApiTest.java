package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendChunk;
import static tinford.program.Wire.valueReply;

import org.testng.annotations.Test;
import tinford.testing.Eventually;
import tinford.testing.FreePort;

/** The operators' calls to a process that runs. */
public class AdminApiTest extends GatewayFixture {
    private static String[][] adminCalls() {
        return new String[][] {
            {"GET /v1/readyz", "200"},
            {"POST /v1/readyz", "405"},
            {"GET /", "404"},
            {"GET /v1/servers/s0/suspend", "405"},
            {"POST /v1/servers/s0/suspend", "200"},
            {"POST /v1/servers/s0/resume", "200"},
            {"POST /v1/servers/s9/suspend", "404"},
            {"POST /v1/servers/s9/resume", "404"},
            {"POST /v1/servers/s0/stop", "404"},
            {"POST /v1/servers/s0", "404"},
            {"POST /v1/servers/%73%30/suspend", "404"},
            {"POST /v1/servers//suspend", "404"},
            {"POST /v1/servers/s0/suspend/x", "404"},
            {"POST /v1/servers/../s0/suspend", "404"},
            {"DELETE /v1/servers/s0/suspend", "405"},
            {"POST /v1/servers/s0 /suspend", "400"},
            {"POST /v1/servers/" + "s".repeat(3000) + "/suspend", "404"},
            {"POST v1/servers/s0/suspend", "400"},
        };
    }

    /** Other connections are open, on which no call is ever completed. */
    @Test
    public void adminCallsAreAnsweredBesideUnfinishedOnes() throws Exception {
        createSharedFolder();
        int management = FreePort.find();
        gateway = startManaged(management, logFile);
        for (int i = 0; i < 40; i++) {
            TestConnection half = connect(management);
            if (i % 2 == 0) {
                half.send("POST /v1/servers/s0/susp");
            }
            String[] row = adminCalls()[i % adminCalls().length];
            assertEquals(callAdmin(management, row[0]), row[1], row[0]);
        }
        TestConnection twice = connect(management);
        twice.send("GET /v1/readyz HTTP/1.1\r\n\r\nPOST /v1/servers/s0/suspend HTTP/1.1\r\n\r\n");
        assertEquals(twice.readLine(), "HTTP/1.1 200 OK");
        String rest = "";
        for (String line = twice.readLine(); line != null; line = twice.readLine()) {
            rest += line + "\n";
        }
        assertFalse(rest.contains("HTTP/1.1"), rest); // one call for each connection
        TestConnection half = connect(management);
        half.send("POST /v1/servers/s0/suspend HTTP/1.1\r\n");
        half.socket.close();
        answerAll(servers[0]);
        String received = "";
        // it was resumed above, and is warming up
        for (int i = 1; i < 40 && !received.startsWith("for"); i++) {
            received = connectClient().send(readCommand(i)).receive();
        }
        assertTrue(received.startsWith("for"), "the server was suspended: " + received);
        TestConnection wrong = connect(management);
        assertEquals(wrong.send("what\r\n\r\n").readLine(), "HTTP/1.1 400 Bad Request");
    }

    /** Whatever discovery says of it meanwhile; its earlier connections are not used again. */
    @Test
    public void suspendedServerGetsNoRequestUntilItIsResumed() throws Exception {
        createSharedFolder();
        int management = FreePort.find();
        gateway = startManaged(management, logFile);
        TestConnection client = connectClient();
        TestConnection watch = accept(discovery);
        watch.readLine();
        sendChunk(
                watch,
                "{\"seq\":42,\"whole\":false,\"hosts\":["
                        + endpointJson(1, servers[1], "ready")
                        + "]}\n",
                true);
        Eventually.await(
                "server s1 in the endpoint list",
                () -> callAdmin(management, "POST /v1/servers/s1/resume").equals("200"));
        assertEquals(callAdmin(management, "POST /v1/servers/s0/suspend"), "200");
        sendChunk(
                watch,
                "{\"seq\":43,\"whole\":true,\"hosts\":["
                        + endpointJson(0, servers[0], "ready")
                        + ","
                        + endpointJson(1, servers[1], "ready")
                        + "]}\n",
                false);
        for (int i = 0; i < 12; i++) {
            client.send(readCommand(i));
            TestConnection server = accept(servers[1]);
            assertTrue(server.receive().contains(requestId(i)));
            server.send(valueReply("ok"));
            assertEquals(client.receive(), "ok");
            server.socket.close();
        }
        assertEquals(callAdmin(management, "POST /v1/servers/s0/resume"), "200");
        assertEquals(callAdmin(management, "POST /v1/servers/s1/suspend"), "200");
        answerAll(servers[0]);
        String received = "";
        // it is warming up, and gets its first requests one by one
        for (int i = 20; i < 60 && !received.startsWith("for"); i++) {
            received = client.send(readCommand(i)).receive();
        }
        assertTrue(received.startsWith("for"), received);
    }
}
