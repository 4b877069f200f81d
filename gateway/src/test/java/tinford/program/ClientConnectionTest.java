package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Malformed commands, and connections that are idle, silent or too many. */
public class ClientConnectionTest extends GatewayFixture {
    private static final String OUT_OF_RANGE =
            "-ERR expected units of at most 6.0, spread of at most 1 and first below 1";

    @DataProvider
    public Object[][] malformedCommands() {
        return new Object[][] {
            {command("GET", "x"), "-ERR expected Q.ASK, Q.DO or PING", true},
            {
                command("Q.ASK", requestId(7), requestId(1), "c=what,t=free,d=400"),
                "-ERR expected c to be one of [read, write, brief, marked]",
                true
            },
            {
                command("Q.ASK", requestId(7), requestId(1), "c=read,t=what,d=400"),
                "-ERR expected t to be one of [free, paid]",
                true
            },
            {
                command("Q.ASK", requestId(7), requestId(1), "c=read"),
                "-ERR expected the terms c, t and d",
                true
            },
            {
                command(
                        "Q.ASK",
                        requestId(7),
                        requestId(1),
                        terms("read", "").replace("units=1", "units=7")),
                OUT_OF_RANGE,
                true
            },
            {
                command(
                        "Q.ASK",
                        requestId(7),
                        requestId(1),
                        terms("read", "").replace("spread=1", "spread=2")),
                OUT_OF_RANGE,
                true
            },
            {
                command(
                        "Q.ASK",
                        requestId(7),
                        requestId(1),
                        terms("read", "").replace("first=0", "first=1")),
                OUT_OF_RANGE,
                true
            },
            {
                command("Q.ASK", requestId(7), requestId(1), terms("write", "")),
                "-ERR expected Q.ASK for idempotent request classes, Q.DO for all others",
                true
            },
            {
                command("Q.DO", requestId(7), requestId(1), terms("marked", "")),
                "-ERR expected a non-empty idempotency key in the term k",
                true
            },
            {
                command("Q.ASK", requestId(7), "", terms("read", "")),
                "-ERR expected id of 16 hex digits",
                true
            },
            {
                "*3\r\n$5\r\nQ.ASK\r\n$-5\r\n",
                "-ERR expected a length of 0 or more, or -1 for a null bulk string",
                false
            },
            {
                "*4\r\n$5\r\nQ.ASK\r\n$60000000\r\n" + "x".repeat(1 << 20),
                "-ERR expected a value of at most 65536 bytes",
                false
            },
            {"x".repeat(1 << 20), "-ERR expected a RESP2 value", false},
            {"*" + "1".repeat(1 << 20), "-ERR expected a line of under 1024 bytes", false},
            {"*2\r\n$4\r\nPING\r\n+x\r\n", "-ERR expected an array of bulk strings", false},
            {"*1\r\n$70000\r\n", "-ERR expected a value of at most 65536 bytes", false},
            {"PING\r\n", "-ERR expected a RESP2 value", false},
        };
    }

    @Test(dataProvider = "malformedCommands")
    public void malformedCommandIsAnsweredWithOneErrorAndHarmsNoOtherClient(
            String bytes, String error, boolean goesOn) throws Exception {
        TestConnection client = startGateway();
        TestConnection other = connectClient();
        try {
            client.send(bytes);
        } catch (SocketException e) {
            assertFalse(goesOn); // closed before all of it was sent
        }
        String received = client.receive();
        // a client that still sends may see the close first
        if (bytes.length() < 1 << 20 || received != null) {
            assertEquals(received, error);
        }
        if (goesOn) {
            assertEquals(client.send(command("PING")).receive(), "+PONG");
        } else {
            assertEquals(client.receive(), null);
        }
        assertEquals(other.send(command("PING")).receive(), "+PONG");
    }

    @DataProvider
    public Object[][] incompleteCommands() {
        return new Object[][] {
            {""}, {"*4\r\n$5\r\nQ.A"}, {"*1\r\n$4\r\nPI"}, {readCommand(1).substring(0, 60)}
        };
    }

    /** A connection with a request in flight stays open meanwhile. */
    @Test(dataProvider = "incompleteCommands")
    public void silentConnectionsAreClosedAndIncompleteCommandsAnswered(String half)
            throws Exception {
        TestConnection asks = startGateway();
        asks.send(readCommand(9));
        TestConnection server = accept(servers[0]);
        server.receive();
        long from = System.nanoTime();
        TestConnection client = connectClient();
        client.send(half);
        if (!half.isEmpty()) {
            assertEquals(client.receive(), "-ERR expected a whole command within 2300 ms");
        }
        assertEquals(client.receive(), null);
        assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(3000));
        server.send(valueReply("still here")); // possibly too late for its latency objective
        String received = asks.receive();
        assertTrue(received.equals("still here") || received.matches("-BUSY \\d+"), received);
        assertEquals(asks.send(command("PING")).receive(), "+PONG");
    }

    @Test
    public void idOfAnOpenRequestIsRejected() throws Exception {
        TestConnection client = startGateway();
        TestConnection other = connectClient();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        assertEquals(
                other.send(readCommand(1)).receive(),
                "-ERR expected an id that no open request has");
        server.send(valueReply("one"));
        assertEquals(client.receive(), "one");
        answerAll(servers[0]);
        other.send(readCommand(1));
        server.socket.close();
        assertEquals(other.receive(), "for " + requestId(1));
    }

    @Test
    public void tooManyPipelinedRequestsAreRejected() throws Exception {
        TestConnection client = startGateway();
        TestConnection other = connectClient();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            all.append(readCommand(i));
        }
        client.send(all.toString());
        // all requests are read before the first is answered, which would admit one more
        awaitConnectionReuse(other);
        answerAll(servers[0]);
        int denied = 0;
        for (int i = 0; i < 300; i++) {
            String received = client.receive();
            denied += received.equals("-BUSY") ? 1 : 0;
            assertTrue(
                    received.startsWith("-BUSY") || received.equals("for " + requestId(i)),
                    received);
        }
        assertTrue(denied >= 200, "" + denied);
    }

    /** Hundreds of connections that bring no request keep out none that does. */
    @Test
    public void idleConnectionsAreClosedForNewOnes() throws Exception {
        TestConnection client = startGateway("\"sockets\":1024", "\"sockets\":128");
        answerAll(servers[0]);
        for (int i = 0; i < 200; i++) {
            TestConnection stays = connectClient();
            if (i < 100) {
                assertEquals(stays.send(command("PING")).receive(), "+PONG");
            }
        }
        for (int i = 0; i < 30; i += 3) { // together: each is new when the next one connects
            TestConnection[] late = {connectClient(), connectClient(), connectClient()};
            for (int k = 0; k < 3; k++) {
                late[k].send(readCommand(i + k));
            }
            for (int k = 0; k < 3; k++) {
                assertEquals(late[k].receive(), "for " + requestId(i + k));
            }
        }
        assertTrue(gateway.isAlive());
    }

    /**
     * From a quarter of the descriptors on, idle connections are closed for new ones, the longest
     * idle first; one that is new stays.
     */
    @Test
    public void newConnectionIsNotClosedForTheNextOne() throws Exception {
        TestConnection client = startGateway("\"sockets\":1024", "\"sockets\":128");
        answerAll(servers[0]);
        List<TestConnection> stay = new ArrayList<>(List.of(client));
        for (int i = 1; i < 32; i++) { // a quarter of the descriptors
            stay.add(connectClient());
            assertEquals(stay.get(i).send(command("PING")).receive(), "+PONG");
        }
        TestConnection first = connectClient();
        connectClient();
        for (int i = 0; i < 2; i++) {
            stay.get(i).socket.setSoTimeout(5000); // well below the idle timeout
            assertEquals(stay.get(i).receive(), null);
        }
        assertEquals(first.send(readCommand(1)).receive(), "for " + requestId(1));
        assertEquals(stay.get(2).send(command("PING")).receive(), "+PONG");
    }

    @Test
    public void halfClosedClientCountsAsGone() throws Exception {
        TestConnection client = startGateway();
        TestConnection other = connectClient();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        client.socket.shutdownOutput();
        assertEquals(client.receive(), null);
        server.send(valueReply("late"));
        awaitConnectionReuse(other);
        other.send(readCommand(2));
        server.receive();
        server.send(valueReply("mine"));
        assertEquals(other.receive(), "mine");
    }
}
