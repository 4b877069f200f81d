package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * A client that goes on across the end of a gateway's process: it connects again where its
 * connection was closed, and sends again what was closed without an answer.
 */
final class RetryingClient extends Thread {
    private static final int SEND_AT_ONCE = -1;
    private static final int IDS_PER_CLIENT = 100_000;
    private static final int MAX_REQUESTS = 20_000;
    private static final int STOP_AFTER_SIGNAL_MS = 10_000;
    private static final long SIGNAL_POLL_NANOS = 200_000;
    private static final long PAUSE_UNIT_NANOS = 400_000;
    private final GatewayFixture fixture;
    private final DoubleSupplier sinceSignalMs;
    private final int firstId;
    private final int batchSize;
    private final long firstSendMs;
    private final boolean connectsAtOnce;
    private volatile boolean isStopped;
    private TestConnection connection;
    private int sent;
    private int answered;
    private int answeredRetries;

    /** The ids of requests that were closed without an answer. */
    private final List<String> unanswered = new ArrayList<>();

    private int lost;
    private String failure;

    /**
     * @param sinceSignalMs the time since the gateway was signalled; negative before that
     * @param n number of this client, from which its ids follow
     * @param batchSize requests that it sends at once
     * @param firstSendMs when it sends a single batch, counted from the signal; -1 to send one
     *     batch after another from the start on
     * @param connectsAtOnce or only when it sends
     */
    RetryingClient(
            GatewayFixture fixture,
            DoubleSupplier sinceSignalMs,
            int n,
            int batchSize,
            long firstSendMs,
            boolean connectsAtOnce) {
        this.fixture = fixture;
        this.sinceSignalMs = sinceSignalMs;
        this.firstId = (n + 1) * IDS_PER_CLIENT;
        this.batchSize = batchSize;
        this.firstSendMs = firstSendMs;
        this.connectsAtOnce = connectsAtOnce;
        setDaemon(true);
        start();
    }

    /** It sends no further batch. */
    void stopSending() {
        isStopped = true;
    }

    int answered() {
        return answered;
    }

    List<String> unanswered() {
        return unanswered;
    }

    /** How many unanswered requests could not be sent again, as the gateway accepted no client. */
    int lost() {
        return lost;
    }

    /** What went wrong otherwise, or null. */
    String failure() {
        return failure == null ? null : firstSendMs + ": " + failure;
    }

    @Override
    public void run() {
        try {
            if (connectsAtOnce) {
                connection = fixture.connectClient();
                assertEquals(connection.send(command("PING")).receive(), "+PONG");
            }
            while (firstSendMs != SEND_AT_ONCE && sinceSignalMs.getAsDouble() < firstSendMs) {
                LockSupport.parkNanos(SIGNAL_POLL_NANOS);
            }
            sendBatches();
        } catch (ConnectException e) {
            // the gateway accepts no clients any more
        } catch (Exception | AssertionError e) {
            failure = e.toString();
        } finally {
            lost = unanswered.size() - answeredRetries;
        }
    }

    private void sendBatches() throws IOException {
        int toRetry = 0;
        while (!isStopped && sent < MAX_REQUESTS && (toRetry > 0 || mayStartBatch())) {
            if (connection == null || !isStillOpen()) {
                connection = fixture.connectClient();
            }
            toRetry = sendAndReceive(toRetry > 0 ? toRetry : batchSize);
            if (firstSendMs != SEND_AT_ONCE && toRetry == 0) {
                return;
            }
            LockSupport.parkNanos(toRetry > 0 ? 0 : (sent % 7) * PAUSE_UNIT_NANOS);
        }
    }

    private boolean mayStartBatch() {
        return sinceSignalMs.getAsDouble() < STOP_AFTER_SIGNAL_MS;
    }

    /** Whether the gateway's close has not been received. */
    private boolean isStillOpen() throws IOException {
        connection.socket.setSoTimeout(1);
        try {
            int next = connection.in.read();
            assertTrue(next < 0, "more than was asked for");
            connection.socket.close();
            return false;
        } catch (SocketTimeoutException e) {
            connection.socket.setSoTimeout(GatewayFixture.TIMEOUT_MS);
            return true;
        } catch (SocketException e) {
            connection.socket.close();
            return false;
        }
    }

    /** Sends so many requests; the result is how many of them have to be sent again. */
    private int sendAndReceive(int count) throws IOException {
        boolean isRetry = unanswered.size() > answeredRetries;
        StringBuilder batch = new StringBuilder();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(requestId(firstId + sent));
            batch.append(readCommand(firstId + sent++));
        }
        try {
            connection.send(batch.toString());
        } catch (SocketException e) {
            // closed meanwhile: what the gateway sent before may still be read
        }
        int toRetry = receiveAnswers(ids);
        answeredRetries += isRetry ? count : 0;
        return toRetry;
    }

    private int receiveAnswers(List<String> ids) throws IOException {
        for (int i = 0; i < ids.size(); i++) {
            String answer = connection.receive();
            if (answer == null) {
                unanswered.addAll(ids.subList(i, ids.size()));
                connection.socket.close();
                connection = null;
                return ids.size() - i;
            }
            assertTrue(answer.equals("for " + ids.get(i)) || answer.startsWith("-BUSY"), answer);
            answered++;
        }
        return 0;
    }
}
