package tinford.program;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Guards ordinary clients against many that misbehave in different ways at once, for some seconds.
 */
public class MisbehavingClientsTest extends GatewayFixture {
    private static final long SEED = 20_261_206;
    private static final int MISBEHAVING_CLIENTS = 80;
    private static final long LENGTH_NANOS = TimeUnit.SECONDS.toNanos(12);
    private static final long CLIENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(4500);
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int READ_BYTES = 4096;
    private static final int LONG_VALUE_ID = 3;
    private static final int FIRST_FLOOD_ID = 10_000_000;
    private static final String LONG_VALUE = "v".repeat(3_000_000);
    private static final String OUT_OF_RANGE =
            command("Q.ASK", requestId(7), requestId(7), "c=read,t=free,d=4000,units=7");
    private static final String MANY_TERMS =
            IntStream.range(0, 9000).mapToObj(i -> ",a" + i + "=1").collect(Collectors.joining());

    private final AtomicInteger nextId = new AtomicInteger(FIRST_FLOOD_ID);

    @Override
    List<String> commandLine() {
        List<String> line = new ArrayList<>(super.commandLine());
        line.set(1, "-Xmx18m");
        line.add(1, "-XX:+UseSerialGC");
        return line;
    }

    @Override
    String configuration() {
        return super.configuration().replace("\"sockets\":1024", "\"sockets\":512");
    }

    @Test
    public void ordinaryClientsAreAnsweredInTime() throws Exception {
        TestConnection ordinary = startGateway();
        acceptAll(servers[0], MisbehavingClientsTest::serve);
        long endNanos = System.nanoTime() + LENGTH_NANOS;
        Random random = new Random(SEED);
        for (int i = 0; i < MISBEHAVING_CLIENTS; i++) {
            Random own = new Random(random.nextLong());
            startDaemon(() -> misbehave(own, endNanos));
        }
        long longestNanos = 0;
        int count = 0;
        while (System.nanoTime() < endNanos) {
            count++;
            long startNanos = System.nanoTime();
            String answer = ordinary.send(readCommand(1000 + count)).receive();
            if (answer == null) { // closed between requests for a new client, so it is sent again
                ordinary = connectClient();
                answer = String.valueOf(ordinary.send(readCommand(1000 + count)).receive());
            }
            longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
            assertTrue(answer.startsWith("for ") || answer.startsWith("-BUSY"), answer);
        }
        System.out.println(
                count
                        + " requests, longest "
                        + TimeUnit.NANOSECONDS.toMillis(longestNanos)
                        + " ms");
        assertTrue(longestNanos < CLIENT_TIMEOUT_NANOS, longestNanos + " ns");
        assertTrue(gateway.isAlive());
        String log = Files.readString(logFile);
        assertFalse(log.contains("OutOfMemoryError"), log);
    }

    private static void serve(TestConnection connection) throws Exception {
        for (String s = connection.receive(); s != null; s = connection.receive()) {
            boolean isLong = s.split(" ")[1].equals(requestId(LONG_VALUE_ID));
            connection.send(valueReply(isLong ? LONG_VALUE : "for " + idOf(s)));
        }
    }

    private void misbehave(Random random, long endNanos) throws Exception {
        while (System.nanoTime() < endNanos) {
            try {
                TestConnection client = connectClient();
                switch (random.nextInt(5)) {
                    case 0 -> stopHalfWay(client, 60_000 + random.nextInt(900_000));
                    case 1 -> client.send(termsCommand()).receive();
                    case 2 -> readSlowly(client, endNanos);
                    case 3 -> sendAndReceive(client, OUT_OF_RANGE, 1 + random.nextInt(900));
                    default -> sendUnderNewNames(client, 1 + random.nextInt(200));
                }
                client.socket.close();
            } catch (IOException e) {
                // closed or refused by the gateway; the next way is tried
            }
        }
    }

    private static void stopHalfWay(TestConnection client, int bodyBytes) throws IOException {
        String whole =
                command(
                        "Q.DO",
                        requestId(5),
                        requestId(5),
                        terms("write", ""),
                        "x".repeat(bodyBytes));
        client.send(whole.substring(0, whole.length() * 9 / 10)).receive();
    }

    private static String termsCommand() {
        return command("Q.ASK", requestId(5), requestId(6), terms("read", MANY_TERMS));
    }

    private void readSlowly(TestConnection client, long endNanos) throws IOException {
        client.send(
                command(
                        "Q.ASK",
                        requestId(LONG_VALUE_ID),
                        requestId(nextId.incrementAndGet()),
                        terms("read", "")));
        int received = 1;
        while (received > 0 && System.nanoTime() < endNanos) {
            received = client.in.readNBytes(READ_BYTES).length;
            LockSupport.parkNanos(READ_INTERVAL_NANOS);
        }
    }

    private static void sendAndReceive(TestConnection client, String text, int count)
            throws IOException {
        client.send(text.repeat(count));
        for (int i = 0; i < count; i++) {
            client.receive();
        }
    }

    private void sendUnderNewNames(TestConnection client, int count) throws IOException {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String id = requestId(nextId.incrementAndGet());
            all.append(command("Q.ASK", id, id, terms("read", "")));
        }
        client.send(all.toString());
        for (int i = 0; i < count; i++) {
            client.receive();
        }
    }
}
