package tinford.fleet.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Records are decoded within the documented error; invalid messages are rejected. */
public class GossipCodecTest {
    private static final double NOW_MS = 1.8e12;
    private static final double MAX_RELATIVE_ERROR = 0.036;

    private static GossipRecord randomRecord(Random random, int gateway, int classes) {
        GossipRecord record =
                new GossipRecord(
                        new Incarnation(gateway, (long) NOW_MS - random.nextInt(1_000_000)),
                        random.nextInt());
        for (int c = 0; c < classes; c++) {
            record.offeredUnits[c] =
                    random.nextInt(4) == 0 ? 0 : Math.exp(random.nextDouble() * 12);
            record.admittedUnits[c] =
                    random.nextInt(3) == 0
                            ? 0
                            : random.nextInt(2) == 0
                                    ? record.offeredUnits[c]
                                    : record.offeredUnits[c] * random.nextDouble();
        }
        record.firstAttempts = random.nextDouble() * 5000;
        record.capacity = random.nextDouble() * 500;
        record.retriesCededTo =
                random.nextBoolean() ? null : new Incarnation(gateway + 1, (long) NOW_MS - 1);
        record.retriesCeded = record.retriesCededTo == null ? 0 : random.nextInt(10_000_000) / 8.0;
        for (int i = random.nextInt(GossipRecord.MAX_SERVERS + 1); i > 0; i--) {
            record.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            random.nextInt(), random.nextBoolean(), 1 + random.nextInt(50_000)));
        }
        return record;
    }

    private static byte[] message(double age, GossipRecord... records) {
        ByteBuffer buffer = GossipCodec.newMessage(256);
        for (GossipRecord record : records) {
            assertTrue(GossipCodec.addRecord(buffer, GossipCodec.encode(record, 5000), age));
        }
        return GossipCodec.toBytes(buffer);
    }

    private static List<GossipCodec.Received> read(byte[] message) {
        return new GossipCodec(10, 5000).readRecords(message, NOW_MS);
    }

    private static void assertNear(double actual, double expected) {
        assertTrue(
                Math.abs(actual - expected)
                        <= MAX_RELATIVE_ERROR * expected + (expected < 1.0 / 64 ? 1.0 / 64 : 0),
                actual + ", expected " + expected + " within the error of the scale");
    }

    @Test
    public void decodesWhatItEncodedWithinTheErrorOfTheScale() {
        Random random = new Random(3);
        for (int i = 0; i < 2000; i++) {
            GossipRecord record =
                    randomRecord(random, i % 10, random.nextInt(GossipRecord.PRIORITY_CLASSES + 1));
            double age = random.nextDouble() * 60_000;
            GossipCodec.Received received = read(message(age, record)).get(0);
            assertEquals(received.record().incarnation, record.incarnation);
            assertEquals(received.record().sequence, record.sequence);
            assertEquals(received.uptimeMs(), 5000.0);
            assertTrue(
                    received.ageMs() >= age && received.ageMs() < age + 2,
                    "age " + age + " decoded as " + received.ageMs());
            assertTrue(received.encoded().length <= GossipCodec.MAX_RECORD_BYTES);
            assertEquals(received.record().retriesCededTo, record.retriesCededTo);
            assertEquals(received.record().retriesCeded, record.retriesCeded, 0.1);
            assertNear(received.record().firstAttempts, record.firstAttempts);
            assertNear(received.record().capacity, record.capacity);
            for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
                assertNear(received.record().offeredUnits[c], record.offeredUnits[c]);
                assertNear(received.record().admittedUnits[c], record.admittedUnits[c]);
            }
            for (int k = 0; k < record.serverHealth.size(); k++) {
                GossipRecord.ServerHealth a = record.serverHealth.get(k);
                GossipRecord.ServerHealth b = received.record().serverHealth.get(k);
                assertTrue(
                        a.serverHash() == b.serverHash()
                                && a.unhealthy() == b.unhealthy()
                                && Math.abs(a.ageMs() - b.ageMs()) <= 0.05 * a.ageMs(),
                        "encoded " + a + ", decoded " + b);
            }
        }
    }

    @DataProvider
    public Object[][] invalidMessages() {
        GossipRecord good = randomRecord(new Random(1), 3, 14);
        byte[] message = message(0, good);
        byte[] version = message.clone();
        version[0] = 2;
        byte[] length = message.clone();
        length[1] += 1;
        byte[] classes = message.clone();
        classes[1 + 29] = GossipRecord.PRIORITY_CLASSES + 1;
        byte[] servers = message(0, new GossipRecord(new Incarnation(1, 5), 1));
        servers[servers.length - 1] = GossipRecord.MAX_SERVERS + 1;
        return new Object[][] {
            {"empty", new byte[0]},
            {"one byte", new byte[] {1}},
            {"another version", version},
            {"truncated", Arrays.copyOf(message, message.length - 1)},
            {"length beyond the end", length},
            {"too many classes", classes},
            {"too many servers", servers},
            {"unknown gateway", message(0, new GossipRecord(new Incarnation(10, 5), 1))},
            {
                "starts in the future",
                message(0, new GossipRecord(new Incarnation(1, (long) NOW_MS + 5001), 1))
            },
            {"too long", Arrays.copyOf(message, 257)},
            {"only heartbeats", new byte[] {1, 0, 0, 0, 0, 0, 0, 0, 0}},
        };
    }

    @Test(dataProvider = "invalidMessages")
    public void rejectsAnInvalidMessageAsAWhole(String description, byte[] message) {
        assertEquals(read(message), List.of(), description);
    }

    @Test
    public void skipsOnlyTheImplausibleRecordOfAnotherGateway() {
        GossipRecord good = new GossipRecord(new Incarnation(1, 5), 1);
        GossipRecord late = new GossipRecord(new Incarnation(2, (long) NOW_MS + 9999), 1);
        List<GossipCodec.Received> read =
                read(message(0, good, late, new GossipRecord(new Incarnation(3, 7), 1)));
        assertEquals(
                read.stream().map(received -> received.record().incarnation.gateway()).toList(),
                List.of(1, 3));
    }

    @Test
    public void ignoresAndForwardsWhatALaterVersionAdds() {
        byte[] raw = GossipCodec.encode(randomRecord(new Random(2), 3, 10), 5000);
        byte[] longer = Arrays.copyOf(raw, raw.length + 9);
        longer[0] += 9;
        longer[raw.length + 4] = 77;
        ByteBuffer buffer = GossipCodec.newMessage(256);
        GossipCodec.addRecord(buffer, longer, 0);
        GossipCodec.addRecord(buffer, raw, 0);
        List<GossipCodec.Received> read = read(GossipCodec.toBytes(buffer));
        assertEquals(read.size(), 2);
        assertEquals(read.get(0).encoded(), longer);
        assertEquals(read.get(0).record().offeredUnits, read.get(1).record().offeredUnits);
    }

    /**
     * Messages with random bytes changed, and truncated or extended messages, cause no exception in
     * the codec or the membership.
     */
    @Test
    public void toleratesRandomlyCorruptedMessages() {
        Random random = new Random(4);
        GossipMembership membership =
                new GossipMembership(new Incarnation(0, 5), 10, 100, 2, 3000, 3000, random);
        for (int i = 0; i < 20_000; i++) {
            byte[] message =
                    message(
                            random.nextInt(5000),
                            randomRecord(random, random.nextInt(10), 8),
                            randomRecord(random, random.nextInt(10), 3));
            for (int k = random.nextInt(4); k >= 0; k--) {
                message[random.nextInt(message.length)] = (byte) random.nextInt();
            }
            message =
                    Arrays.copyOf(
                            message, random.nextInt(3) == 0 ? random.nextInt(300) : message.length);
            for (GossipCodec.Received received : read(message)) {
                assertTrue(
                        received.record().incarnation.gateway() < 10
                                && received.record().incarnation.start() <= NOW_MS + 5000);
            }
            membership.receive(message, random.nextInt(10), NOW_MS + i * 20);
        }
        assertTrue(
                membership.rejectedMessages() > 10_000,
                "rejected " + membership.rejectedMessages());
        assertFalse(membership.aliveCount() > 10);
    }

    @Test
    public void encodesATypicalRecordInSixtyBytes() {
        GossipRecord record = new GossipRecord(new Incarnation(1, 5), 1);
        Arrays.fill(record.offeredUnits, 4, 20, 100);
        Arrays.fill(record.admittedUnits, 10, 20, 100);
        record.admittedUnits[9] = 30;
        record.serverHealth.add(new GossipRecord.ServerHealth(1, true, 100));
        record.retriesCededTo = null;
        assertTrue(
                GossipCodec.encode(record, 0).length <= 60,
                "" + GossipCodec.encode(record, 0).length);
        Arrays.fill(record.offeredUnits, 100);
        Arrays.fill(record.admittedUnits, 50);
        assertTrue(
                GossipCodec.encode(record, 0).length * 2 + 1 <= GossipCodec.MAX_MESSAGE_BYTES,
                "two records of the greatest length do not fit into a message");
    }
}
