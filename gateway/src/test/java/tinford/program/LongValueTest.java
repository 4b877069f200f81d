package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendInPieces;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Values and bodies that are longer than what is buffered whole. */
public class LongValueTest extends GatewayFixture {
    private static final int MAX_VALUE_BYTES = 4 << 20;

    private static String longValue(int n) {
        return "long\r\n$5\r\n".repeat(n / 10 + 1).substring(0, n);
    }

    /** The client has the beginning of a value while its server still holds the rest. */
    @Test
    public void longValuesAreStreamed() throws Exception {
        TestConnection client = startGateway();
        for (int n : new int[] {65_537, 200_000, MAX_VALUE_BYTES}) {
            String text = longValue(n);
            client.send(readCommand(n));
            TestConnection server = accept(servers[0]);
            server.receive();
            String answer = "*3\r\n$" + n + "\r\n" + text + "\r\n$6\r\ncost=1\r\n$-1\r\n";
            server.send(answer.substring(0, 5)).send(answer.substring(5, 50));
            assertEquals(client.readLine(), "$" + n);
            assertEquals(readText(client, 20), text.substring(0, 20));
            Thread rest = startDaemon(() -> sendInPieces(server, answer.substring(50), 60_000));
            assertEquals(readText(client, n - 20), text.substring(20));
            assertEquals(client.readLine(), "");
            rest.join();
            server.socket.close();
        }
    }

    private static String readText(TestConnection connection, int length) throws IOException {
        return new String(connection.in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /** They take hardly any memory of the gateway, and other requests go on. */
    @Test
    public void longValuesThatAreNotReadStayWithTheirServers() throws Exception {
        startGateway();
        String answer = valueReply(longValue(MAX_VALUE_BYTES));
        acceptAll(
                servers[0],
                connection -> {
                    String tenant = connection.receive().split(" ")[1];
                    if (tenant.equals(requestId(8))) {
                        connection.send(valueReply("small"));
                    } else {
                        sendInPieces(connection, answer, 1 << 14);
                    }
                });
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            TestConnection c = connectClient();
            clients.add(c.send(readCommand(100 + i)));
        }
        int forwarded = 0;
        for (TestConnection c : clients) {
            forwarded += c.readLine().equals("$" + MAX_VALUE_BYTES) ? 1 : 0;
        }
        // as many as the server's concurrency limit allows
        assertTrue(forwarded >= 3, forwarded + " were forwarded");
        TestConnection other = connectClient();
        other.send(command("Q.ASK", requestId(8), requestId(500), terms("read", "")));
        String reply = other.receive();
        assertTrue(reply.equals("small") || reply.startsWith("-BUSY"), reply);
        long first = 0;
        for (TestConnection c : clients) {
            if (c.in.available() > 0) {
                first = c.in.readNBytes(MAX_VALUE_BYTES).length;
                assertEquals(c.readLine(), ""); // complete, however late it is read
                break;
            }
        }
        assertEquals(first, MAX_VALUE_BYTES);
    }

    /** Unchanged, in whatever pieces it comes; a body above the limit is rejected. */
    @Test
    public void longBodiesAreForwarded() throws Exception {
        TestConnection client = startGateway();
        for (int n : new int[] {65_537, 200_001, MAX_VALUE_BYTES}) {
            String body = longValue(n);
            String whole = command("Q.DO", requestId(7), requestId(n), terms("write", ""), body);
            sendInPieces(client, whole, 50_000);
            TestConnection server = accept(servers[0]);
            assertTrue(server.receive().endsWith(",units=1,spread=1,first=0 " + body));
            server.send(valueReply("filed " + n));
            assertEquals(client.receive(), "filed " + n);
            server.socket.close();
        }
        client.send(
                command("Q.DO", requestId(7), requestId(1), terms("write", ""), "x")
                                .replace("$1\r\nx", "$" + ((MAX_VALUE_BYTES) + 1))
                        + "xxxx");
        assertEquals(client.receive(), "-ERR expected a value of at most 4194304 bytes");
    }

    /** Each is forwarded or rejected, also one that is not completed; no other request waits. */
    @Test
    public void longBodiesBeyondTheBufferBudgetAreReadInTurn() throws Exception {
        TestConnection other = startGateway();
        answerAll(servers[0]);
        TestConnection incomplete = connectClient();
        incomplete.send(
                command(
                                "Q.DO",
                                requestId(7),
                                requestId(50),
                                terms("write", ""),
                                longValue(MAX_VALUE_BYTES))
                        .substring(0, 100_000));
        List<Thread> senders = new ArrayList<>();
        List<String> received = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 16; i++) {
            TestConnection c = connectClient();
            String whole =
                    command(
                            "Q.DO",
                            requestId(7),
                            requestId(100 + i),
                            terms("write", ""),
                            longValue(MAX_VALUE_BYTES));
            senders.add(startDaemon(() -> received.add(sendAndReceiveFirstWord(c, whole))));
        }
        assertEquals(other.send(readCommand(1)).receive(), "for " + requestId(1));
        for (Thread t : senders) {
            t.join(TIMEOUT_MS);
        }
        assertEquals(received.size(), 16);
        assertTrue(received.contains("for"), received.toString());
        for (String s : received) {
            assertTrue(
                    s.equals("for") || s.equals("-BUSY") || s.equals("closed"),
                    received.toString());
        }
        assertEquals(incomplete.receive(), "-ERR expected a whole command within 2300 ms");
        assertEquals(other.send(readCommand(2)).receive(), "for " + requestId(2));
    }

    private static String sendAndReceiveFirstWord(TestConnection connection, String text) {
        try {
            connection.send(text);
        } catch (IOException e) {
            // rejected before all of it was sent
        }
        try {
            String reply = connection.receive();
            return reply == null ? "closed" : reply.split(" ")[0];
        } catch (IOException e) {
            return "no answer: " + e;
        }
    }

    @DataProvider
    public Object[][] interruptedStreams() {
        String whole = valueReply(longValue(100_000));
        return new Object[][] {
            {whole.substring(0, 70_000), true},
            {whole.substring(0, 100_011), true},
            {whole.replace("$-1\r\n$-1", "noise"), false},
            {whole.substring(0, 100_011) + "xx$-1\r\n$-1\r\n", false},
        };
    }

    /** By the close the client knows that the value is not complete. */
    @Test(dataProvider = "interruptedStreams")
    public void interruptedStreamClosesItsClientsConnection(String answer, boolean closes)
            throws Exception {
        TestConnection client = startGateway();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        server.send(answer);
        if (closes) {
            server.socket.close();
        }
        assertEquals(client.readLine(), "$100000");
        byte[] got = client.in.readNBytes(100_002);
        assertTrue(got.length < 100_002, "not complete: " + got.length);
        TestConnection next = connectClient();
        assertEquals(next.send(command("PING")).receive(), "+PONG");
    }

    /**
     * A client that closes ends its server's stream; a stream behind another answer waits for that.
     */
    @Test
    public void streamsEndWithTheirClientsAndKeepTheOrder() throws Exception {
        TestConnection client = startGateway();
        client.send(readCommand(1) + readCommand(2));
        TestConnection a = accept(servers[0]);
        TestConnection b = accept(servers[0]);
        boolean swapped = a.receive().contains(requestId(2));
        b.receive();
        TestConnection first = swapped ? b : a;
        TestConnection second = swapped ? a : b;
        String text = longValue(70_000);
        second.send(valueReply(text));
        client.send(command("PING"));
        first.send(valueReply("short"));
        assertEquals(client.receive(), "short");
        assertEquals(client.receive(), text);
        assertEquals(client.receive(), "+PONG");
        second.socket.close();
        first.socket.close();
        awaitConnectionReuse(client);
        client.send(readCommand(3));
        TestConnection third = accept(servers[0]);
        third.receive();
        third.send(valueReply(text).substring(0, 66_000));
        assertEquals(client.readLine(), "$70000");
        client.socket.close();
        assertEquals(third.receive(), null);
    }
}
