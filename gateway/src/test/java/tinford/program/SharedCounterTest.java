package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.countedCommand;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.valueReply;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests under a quota, while the shared counter works and while it fails. */
public class SharedCounterTest extends GatewayFixture {
    @Test
    public void totalOfTheSharedCounterDecides() throws Exception {
        TestConnection client = startGateway();
        CounterFixture counterFixture = new CounterFixture(this);
        client.send(countedCommand(1));
        assertTrue(counterFixture.receive().matches("CNT.ADD \\d+ 1 \\d+"));
        counterFixture.send("$1\r\n1\r\n");
        assertTrue(counterFixture.receive().matches("CNT.ADD \\d+ 0 \\d+")); // the window before
        counterFixture.send("$1\r\n0\r\n");
        TestConnection server = accept(servers[0]);
        server.receive();
        server.send(valueReply("one"));
        assertEquals(client.receive(), "one");
        client.send(countedCommand(2));
        counterFixture.receive();
        counterFixture.send("$3\r\n400\r\n");
        assertTrue(client.receive().startsWith("-BUSY "));
        assertTrue(counterFixture.receive().matches("CNT.ADD \\d+ -1 \\d+"));
    }

    @DataProvider
    public Object[][] counterFaults() {
        return new Object[][] {{"silent"}, {"busy"}, {"garbage"}, {"gone"}};
    }

    /**
     * A request within the per-gateway share is forwarded, and requests without a quota never wait.
     */
    @Test(dataProvider = "counterFaults")
    public void faultyCounterStopsNoRequest(String trouble) throws Exception {
        TestConnection client = startGateway();
        CounterFixture counterFixture = new CounterFixture(this);
        if (trouble.equals("gone")) {
            counter.close();
            for (TestConnection t : counterFixture.connections) {
                t.socket.close();
            }
        }
        client.send(countedCommand(1) + readCommand(2));
        if (!trouble.equals("gone")) {
            counterFixture.receive();
        }
        switch (trouble) {
            case "busy" -> counterFixture.send("-BUSY\r\n");
            case "garbage" -> counterFixture.send("*1\r\n$1\r\n5\r\n");
            default -> {}
        }
        TestConnection other = connectClient();
        other.send(readCommand(3));
        answerAll(servers[0]);
        assertEquals(client.receive(), "for " + requestId(1));
        assertEquals(client.receive(), "for " + requestId(2));
        assertEquals(other.receive(), "for " + requestId(3));
    }

    @Test
    public void deadCounterConnectionIsReplaced() throws Exception {
        TestConnection client = startGateway();
        CounterFixture counterFixture = new CounterFixture(this);
        client.send(countedCommand(1));
        counterFixture.receive();
        TestConnection server = accept(servers[0]);
        server.receive();
        server.send(valueReply("by the share"));
        assertEquals(client.receive(), "by the share");
        TestConnection dead = counterFixture.last;
        client.send(countedCommand(2));
        String next = counterFixture.receive();
        // the second call, for the same window or the next one, comes first
        while (!next.equals(CounterFixture.CONNECTION_CLOSED)) {
            next = counterFixture.receive();
        }
        assertTrue(counterFixture.last == dead); // closed by the gateway
        client.send(countedCommand(3));
        assertTrue(counterFixture.receive().startsWith("CNT.ADD "));
        assertTrue(counterFixture.last != dead);
    }

    /** Calls on the other connections are answered meanwhile. */
    @Test
    public void hangingCounterConnectionIsBypassed() throws Exception {
        TestConnection client = startGateway();
        CounterFixture counterFixture = new CounterFixture(this);
        client.send(countedCommand(1));
        assertTrue(counterFixture.receive().startsWith("CNT.ADD "));
        TestConnection hangs = counterFixture.last; // never answered
        answerAll(servers[0]);
        StringBuilder others = new StringBuilder();
        for (int i = 2; i < 42; i++) {
            others.append(
                    command(
                            "Q.ASK",
                            requestId(100 + i),
                            requestId(i),
                            "c=read,t=paid,d=4000,units=1,spread=1,first=0"));
        }
        client.send(others.toString());
        int elsewhere = 0;
        while (!counterFixture.receive().equals(CounterFixture.CONNECTION_CLOSED)) {
            if (counterFixture.last != hangs) {
                elsewhere++;
                counterFixture.send("$1\r\n1\r\n");
            }
        }
        assertTrue(counterFixture.last == hangs);
        // a quarter of the forty calls may wait on the hanging connection, but not all of them
        assertTrue(elsewhere >= 20, elsewhere + " calls");
        int passed = 0;
        for (int i = 1; i < 42; i++) {
            String answer = client.receive();
            assertTrue(answer.equals("for " + requestId(i)) || answer.startsWith("-BUSY "), answer);
            passed += answer.startsWith("for ") ? 1 : 0;
        }
        // the other requests were decided by the per-gateway share
        assertTrue(passed > 0, passed + " passed");
    }
}
