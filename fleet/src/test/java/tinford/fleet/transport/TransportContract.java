package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Tests that every implementation of {@link Transport} must pass, with three gateways numbered 0 to
 * 2. {@link #openAll} opens their {@link #transports} at the start of each test.
 */
public abstract class TransportContract {
    static final int MAX_MESSAGE_BYTES = 256;

    /** Largest number of messages that may be buffered for a stalled receiver. */
    static final int MAX_BUFFERED_MESSAGES = 4096;

    private static final int FLOOD_MESSAGES = 20_000;
    private static final double MAX_FLOOD_MS = 1500;

    record Received(int from, byte[] message) {}

    List<Transport> transports = new ArrayList<>();
    final List<List<Received>> received = new ArrayList<>();

    abstract Transport open(int gateway, Transport.Receiver receiver);

    /** Runs the transport until the condition holds; fails after a timeout. */
    abstract void awaitCondition(BooleanSupplier condition);

    /** Makes links lose, duplicate, delay and reorder messages, if the transport supports that. */
    abstract void degradeLinks();

    abstract void stall(int gateway);

    abstract void resume(int gateway);

    /** Sends a message from outside the fleet, if the transport could receive it. */
    abstract void sendFromUnknownSender(int to, byte[] message);

    void openAll() {
        closeAll();
        received.clear();
        for (int i = 0; i < 3; i++) {
            List<Received> list = Collections.synchronizedList(new ArrayList<>());
            received.add(list);
            transports.add(open(i, (from, message) -> list.add(new Received(from, message))));
        }
    }

    @AfterMethod(alwaysRun = true)
    void closeAll() {
        transports.forEach(Transport::close);
        transports.clear();
    }

    static byte[] testMessage(int from, int number, int length) {
        byte[] message = new byte[length];
        new Random(from * 100_003L + number).nextBytes(message);
        ByteBuffer.wrap(message).putInt(from).putInt(number);
        return message;
    }

    /** Sends a message repeatedly until it is received, since any attempt may be lost. */
    private void sendUntilReceived(int from, int to, byte[] message) {
        awaitCondition(
                () -> {
                    transports.get(from).send(to, message);
                    return List.copyOf(received.get(to)).stream()
                            .anyMatch(
                                    each ->
                                            each.from == from
                                                    && Arrays.equals(each.message, message));
                });
    }

    private void assertUnaltered(int to) {
        for (Received each : List.copyOf(received.get(to))) {
            ByteBuffer buffer = ByteBuffer.wrap(each.message);
            int from = buffer.getInt();
            assertEquals(each.from, from, "attributed to another sender");
            assertEquals(
                    each.message,
                    testMessage(from, buffer.getInt(), each.message.length),
                    "altered");
        }
    }

    @Test
    public void lossDuplicationDelayAndReorderingAlterNothing() {
        openAll();
        degradeLinks();
        for (int i = 0; i < 200; i++) {
            transports.get(0).send(2, testMessage(0, i, 8 + i));
            transports.get(1).send(2, testMessage(1, i, MAX_MESSAGE_BYTES - i));
        }
        sendUntilReceived(0, 2, testMessage(0, 1000, 40));
        sendUntilReceived(1, 2, testMessage(1, 1000, 40));
        assertUnaltered(2);
    }

    @Test
    public void oversizedMessageIsNotSent() {
        openAll();
        assertEquals(transports.get(0).maxMessageBytes(), MAX_MESSAGE_BYTES);
        assertFalse(transports.get(0).send(1, testMessage(0, 1, MAX_MESSAGE_BYTES + 1)));
        assertFalse(transports.get(0).send(1, testMessage(0, 2, 70_000)));
        sendUntilReceived(0, 1, testMessage(0, 3, MAX_MESSAGE_BYTES));
        assertTrue(
                received.get(1).stream()
                        .allMatch(
                                each ->
                                        Arrays.equals(
                                                each.message,
                                                testMessage(0, 3, MAX_MESSAGE_BYTES))),
                "part of an oversized message was received");
    }

    @Test
    public void sendToUnknownNumberFails() {
        openAll();
        for (int to : new int[] {-1, 3, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
            assertFalse(transports.get(0).send(to, testMessage(0, 1, 20)), "to " + to);
        }
        transports.get(1).close();
        transports.get(0).send(1, testMessage(0, 2, 20));
        sendUntilReceived(0, 2, testMessage(0, 3, 20));
        assertTrue(received.get(1).isEmpty());
    }

    @Test
    public void messageOfUnknownSenderIsDropped() {
        openAll();
        sendFromUnknownSender(1, testMessage(7, 1, 20));
        sendUntilReceived(0, 1, testMessage(0, 2, 20));
        assertUnaltered(1);
    }

    @Test
    public void restartedGatewayReceivesUnderItsNumber() {
        openAll();
        sendUntilReceived(0, 1, testMessage(0, 1, 20));
        transports.get(1).close();
        transports.get(0).send(1, testMessage(0, 2, 20));
        int before = received.get(1).size();
        List<Received> later = Collections.synchronizedList(new ArrayList<>());
        transports.set(1, open(1, (from, message) -> later.add(new Received(from, message))));
        awaitCondition(() -> transports.get(0).send(1, testMessage(0, 3, 20)) && !later.isEmpty());
        sendUntilReceived(1, 0, testMessage(1, 4, 20));
        assertEquals(received.get(1).size(), before, "received by the closed process");
        assertUnaltered(0);
    }

    @Test
    public void closedTransportNeitherSendsNorReceives() {
        openAll();
        sendUntilReceived(0, 1, testMessage(0, 1, 20));
        for (int i = 0; i < 50; i++) {
            transports.get(0).send(1, testMessage(0, 2, 20));
        }
        transports.get(1).close();
        int before = received.get(1).size();
        transports.get(1).close();
        assertFalse(transports.get(1).send(2, testMessage(1, 3, 20)));
        transports.get(0).send(1, testMessage(0, 4, 20));
        sendUntilReceived(0, 2, testMessage(0, 5, 20));
        assertEquals(received.get(1).size(), before, "received after it was closed");
        assertTrue(
                received.get(2).stream().allMatch(each -> each.from == 0),
                "sent after it was closed");
    }

    @Test
    public void stalledReceiverBlocksNoSenderAndIsBounded() {
        openAll();
        sendUntilReceived(0, 1, testMessage(0, 0, 20));
        stall(1);
        long from = System.nanoTime();
        for (int i = 0; i < FLOOD_MESSAGES; i++) {
            transports.get(0).send(1, testMessage(0, 1, MAX_MESSAGE_BYTES));
            assertTrue(
                    System.nanoTime() - from < MAX_FLOOD_MS * 1e6,
                    "sending blocks while the receiver is stalled, at message " + i);
        }
        resume(1);
        sendUntilReceived(0, 1, testMessage(0, 2, 20));
        assertTrue(
                received.get(1).size() < MAX_BUFFERED_MESSAGES,
                "buffered messages: " + received.get(1).size());
        assertUnaltered(1);
    }

    @Test
    public void receiverThatThrowsGetsFurtherMessages() {
        openAll();
        transports.get(1).close();
        List<Received> list = received.get(1);
        transports.set(
                1,
                open(
                        1,
                        (from, message) -> {
                            list.add(new Received(from, message));
                            throw new IllegalStateException("receiver failure");
                        }));
        sendUntilReceived(0, 1, testMessage(0, 1, 20));
        sendUntilReceived(0, 1, testMessage(0, 2, 20));
    }

    @Test
    public void anyContentIsDelivered() {
        openAll();
        byte[] all = new byte[256];
        for (int i = 0; i < 256; i++) {
            all[i] = (byte) i;
        }
        sendUntilReceived(0, 1, all);
        sendUntilReceived(0, 1, new byte[0]);
        byte[] changed = all.clone();
        sendUntilReceived(0, 2, changed);
        Arrays.fill(changed, (byte) 9);
        assertTrue(
                received.get(2).stream().allMatch(each -> Arrays.equals(each.message, all)),
                "the message changed when its sender modified the array after sending");
    }
}
