package tinford.routing.upstream;

import static org.testng.Assert.assertEquals;
import static tinford.routing.RoutingFixtures.ABORTED;
import static tinford.routing.RoutingFixtures.read;
import static tinford.routing.RoutingFixtures.write;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.routing.client.ClientRequest;

/**
 * Guards against responses that are attributed to the wrong attempt or answer a request twice. The
 * responses arrive in the same batch in which an attempt times out or the next one is sent. The
 * test sends the attempts itself.
 */
public class ServerResponseTest extends ServerResponseFixture {
    private static final String ONE = "*1\r\n$3\r\none\r\n";
    private static final String ANSWER_ONE = "$3\r\none\r\n";
    private static final double TIMEOUT_MS = 300;

    /** Time after which a connection may be reused. */
    private static final long REUSE_DELAY_NANOS = 30_000_000L;

    /** Response that has arrived by the timeout; whether the socket is read before the timeout. */
    @DataProvider
    public Object[][] responsesAtTheTimeout() {
        String streamed = "*1\r\n$70000\r\n" + "x".repeat(200);
        return new Object[][] {
            {ONE, true},
            {ONE, false},
            {ONE + ONE, true},
            {"-ERR failed\r\n", true},
            {"-BUSY\r\n", true},
            {"*1\r\n$3\r\non", true},
            {streamed, true},
            {streamed, false}
        };
    }

    /**
     * Timers run before received data is handled: the request gets a single final answer, and the
     * response is discarded.
     */
    @Test(dataProvider = "responsesAtTheTimeout")
    public void responseInTheBatchOfTheTimeoutIsNoSecondAnswer(String response, boolean read)
            throws Exception {
        Request request = request(1);
        dispatcher
                .loop()
                .execute(
                        () ->
                                dispatcher.sendAttempt(
                                        request, server, TIMEOUT_MS, NO_SEND_DEADLINE_MS));
        Socket socket = acceptCommand(1);
        dispatcher
                .loop()
                .execute(
                        () -> {
                            write(socket, response);
                            if (read) {
                                ((ClientRequest) request).attempt(0).connection.hasNoPendingInput();
                            }
                            nanoTime.addAndGet((long) (2 * TIMEOUT_MS * 1e6));
                        });
        String head = read(client, 3);
        // Otherwise the response may be read before the timer's batch, and then is the answer.
        boolean inTime = !read && !head.equals("-ER");
        String answer = response.equals(ONE) ? ANSWER_ONE : "$70000\r\n";
        String expected = inTime ? answer : ABORTED;
        assertEquals(head + read(client, expected.length() - head.length()), expected);
        if (inTime && !response.equals(ONE)) {
            return; // a streamed response, to which no timeout applies
        }
        ping();
        assertEquals(
                ended,
                List.of(
                        inTime
                                ? AttemptOutcome.SUCCESS + " closed"
                                : AttemptOutcome.TIMED_OUT.toString()));
        if (!inTime) {
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    /**
     * A duplicate response arrives on an idle connection just before the next attempt is sent: the
     * attempt must use another connection and get its own response.
     */
    @Test
    public void secondResponseIsNotTakenForThatOfTheNextAttempt() throws Exception {
        Request first = request(1);
        dispatcher
                .loop()
                .execute(() -> dispatcher.sendAttempt(first, server, 0, NO_SEND_DEADLINE_MS));
        Socket socket = acceptCommand(1);
        write(socket, ONE);
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE);
        awaitConnectionReuse();
        Request second = request(2);
        dispatcher
                .loop()
                .execute(
                        () -> {
                            write(socket, ONE);
                            dispatcher.sendAttempt(second, server, 0, NO_SEND_DEADLINE_MS);
                        });
        Socket next = acceptCommand(2);
        write(next, ONE.replace("one", "two"));
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE.replace("one", "two"));
        assertEquals(socket.getInputStream().read(), -1);
        ping();
        String success = AttemptOutcome.SUCCESS + " closed";
        assertEquals(ended, List.of(success, success));
    }

    private void awaitConnectionReuse() throws IOException {
        long restedAt = System.nanoTime() + REUSE_DELAY_NANOS;
        while (System.nanoTime() < restedAt) {
            ping();
        }
    }

    /**
     * The server's system holds a second response back until the first one is acknowledged. It came
     * with the response to the next request, which was answered with the value of the one before.
     */
    @Test
    public void secondResponseThatIsHeldBackIsNotTakenForThatOfTheNextAttempt() throws Exception {
        sendAttempt(request(1));
        Socket socket = acceptCommand(1);
        for (int id = 2; id <= 5; id++) {
            answerOne(socket);
            awaitConnectionReuse();
            sendAttempt(request(id));
            readCommand(socket, id);
        }
        write(socket, ONE);
        write(socket, ONE);
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE);
        awaitConnectionReuse();
        sendAttempt(request(6));
        Socket next = acceptCommand(6);
        write(next, ONE.replace("one", "two"));
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE.replace("one", "two"));
    }

    private void answerOne(Socket socket) throws IOException {
        write(socket, ONE);
        assertEquals(read(client, ANSWER_ONE.length()), ANSWER_ONE);
    }
}
