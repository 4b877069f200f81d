package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendChunk;
import static tinford.program.Wire.sendInPieces;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests and their answers, from clients to servers and back. */
public class RequestForwardingTest extends GatewayFixture {
    @Test
    public void requestIsForwardedUnchangedButForItsTimeout() throws Exception {
        TestConnection client = startGateway();
        String terms = "c=write,t=free,d=4000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0";
        client.send(command("Q.DO", requestId(7), requestId(1), terms, "BODY"));
        TestConnection server = accept(servers[0]);
        String received = server.receive();
        assertTrue(
                received.matches(
                        "Q.DO "
                                + requestId(7)
                                + " "
                                + requestId(1)
                                + " c=write,t=free,d=[123]\\d{3},k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0"
                                + " BODY"),
                received);
        server.send(valueReply("fine"));
        assertEquals(client.receive(), "fine");
        awaitConnectionReuse(client);
        client.send(readCommand(2));
        server.receive(); // on the same connection
        server.send(valueReply("again"));
        assertEquals(client.receive(), "again");
    }

    @Test
    public void answersKeepTheOrderOfPipelinedCommands() throws Exception {
        TestConnection client = startGateway();
        client.send(readCommand(1) + readCommand(2) + command("PING") + readCommand(3));
        TestConnection[] busy = new TestConnection[3];
        String[] ids = new String[3];
        for (int i = 0; i < 3; i++) {
            busy[i] = accept(servers[0]);
            ids[i] = busy[i].receive().split(" ")[2];
        }
        for (int i = 2; i >= 0; i--) {
            busy[i].send(valueReply("for " + ids[i]));
        }
        assertEquals(client.receive(), "for " + requestId(1));
        assertEquals(client.receive(), "for " + requestId(2));
        assertEquals(client.receive(), "+PONG");
        assertEquals(client.receive(), "for " + requestId(3));
    }

    @Test
    public void longestWholeValuesAreForwardedHoweverSplit() throws Exception {
        TestConnection client = startGateway();
        String body = "b\r\n$".repeat(16 << 10);
        String whole = command("Q.DO", requestId(7), requestId(1), terms("write", ""), body);
        sendInPieces(client, whole, 777);
        TestConnection server = accept(servers[0]);
        assertTrue(server.receive().endsWith(" " + body));
        String answer = valueReply("v\r\n".repeat(21_000));
        sendInPieces(server, answer, 999);
        assertEquals(client.receive(), "v\r\n".repeat(21_000));
    }

    @DataProvider
    public Object[][] serverAnswers() {
        return new Object[][] {
            {"write", "-ERR failed used=37,cost=4\r\n", "-ERR aborted"},
            {"write", "garbage\r\n", "-ERR aborted"},
            {"write", "*2\r\n$-1\r\n$-1\r\n", "-ERR aborted"},
            {"write", "$2\r\nok\r\n", "-ERR aborted"},
            {"write", "*1\r\n$2\r\nokno", "-ERR aborted"},
            {"write", "*3\r\n*3\r\n", "-ERR aborted"},
            {"write", "*3\r\n$-7\r\n$-1\r\n$-1\r\n", "-ERR aborted"},
            {"write", "*1000000000\r\n", "-ERR aborted"},
            {"write", "*3\r\n$3000000000\r\nvalue", "-ERR aborted"},
            {"write", "*3\r\n$400\r\nshort\r\n$-1\r\n$-1\r\n", "-ERR aborted"},
            {"write", "-what\r\n", "-ERR aborted"},
            {"write", "-BUSYNESS\r\n", "-ERR aborted"},
            {"write", "+" + "x".repeat(5000), "-ERR aborted"},
            {"write", null, "-ERR aborted"},
            {"read", "-ERR failed\r\n", "-BUSY \\d+"},
            {"read", null, "-BUSY \\d+"},
        };
    }

    /**
     * A request that may have run is answered as failed, not as rejected, unless it is idempotent.
     *
     * @param serverAnswer null: it closes the connection
     */
    @Test(dataProvider = "serverAnswers")
    public void failedRequestsAreAnsweredByTheirIdempotency(
            String requestClass, String serverAnswer, String expected) throws Exception {
        TestConnection client = startGateway();
        client.send(
                command(
                        requestClass.equals("read") ? "Q.ASK" : "Q.DO",
                        requestId(7),
                        requestId(1),
                        terms(requestClass, "")));
        TestConnection server = accept(servers[0]);
        server.receive();
        if (serverAnswer == null) {
            server.socket.close();
        } else {
            server.send(serverAnswer);
        }
        String answer = client.receive();
        assertTrue(answer.matches(expected), answer);
        assertEquals(client.send(command("PING")).receive(), "+PONG");
    }

    @DataProvider
    public Object[][] surplusBytes() {
        String copy = valueReply("one");
        return new Object[][] {
            {copy, copy},
            {copy, "noise"},
            {copy, "-ERR failed\r\n"},
            {copy, "$3\r\n"},
            {copy, "x".repeat(9000)},
            {
                copy.replace(
                        "*3\r\n$3\r\none\r\n$-1\r\n$-1",
                        "*3\r\n$3\r\none\r\n$7\r\ncost=oh\r\n$3\r\n=,="),
                ""
            },
        };
    }

    /** The answer before them is forwarded. */
    @Test(dataProvider = "surplusBytes")
    public void surplusBytesAnswerNoOtherRequest(String answer, String more) throws Exception {
        TestConnection client = startGateway();
        for (int i = 0; i < 6; i++) {
            client.send(readCommand(2 * i));
            TestConnection server = accept(servers[0]);
            assertTrue(server.receive().contains(requestId(2 * i)));
            if (i % 2 == 0) {
                server.send(answer + more);
                assertEquals(client.receive(), "one");
            } else {
                server.send(answer);
                assertEquals(client.receive(), "one");
                server.send(more);
            }
            client.send(readCommand(2 * i + 1)); // surplus bytes may still be in flight
            TestConnection next = accept(servers[0]);
            assertTrue(next.receive().contains(requestId(2 * i + 1)));
            next.send(valueReply("two"));
            assertEquals(client.receive(), "two");
            server.socket.close();
            next.socket.close();
        }
    }

    @Test
    public void unsentRequestIsRetriedAtAnotherServer() throws Exception {
        TestConnection client = startGateway();
        TestConnection watch = accept(discovery);
        watch.readLine();
        servers[0].close();
        sendChunk(
                watch,
                "{\"seq\":42,\"whole\":false,\"hosts\":["
                        + endpointJson(1, servers[1], "ready")
                        + "]}\n",
                true);
        for (int i = 0; i < 8; i++) {
            client.send(command("Q.DO", requestId(7), requestId(i), terms("write", "")));
            TestConnection server = accept(servers[1]);
            assertTrue(server.receive().contains(requestId(i)));
            server.send(valueReply("ok " + i));
            assertEquals(client.receive(), "ok " + i);
            server.socket.close();
        }
    }

    @Test
    public void cancelledAttemptClosesItsOwnConnectionOnly() throws Exception {
        TestConnection client = startGateway();
        client.send(
                command("Q.ASK", requestId(7), requestId(1), terms("brief", "")) + readCommand(2));
        TestConnection first = accept(servers[0]);
        TestConnection second = accept(servers[0]);
        boolean swapped = first.receive().contains(requestId(2));
        second.receive();
        TestConnection silent = swapped ? second : first;
        TestConnection other = swapped ? first : second;
        // closed by the gateway, some time after the latency objective
        assertEquals(silent.receive(), null);
        other.send(valueReply("still here"));
        assertTrue(client.receive().startsWith("-BUSY"));
        assertEquals(client.receive(), "still here");
    }
}
