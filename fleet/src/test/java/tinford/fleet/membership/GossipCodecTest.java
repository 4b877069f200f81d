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

/**
 * Records come through as they were within the stated error; whatever else comes is refused without
 * harm.
 */
public class GossipCodecTest {
    private static final double NOW = 1.8e12;
    private static final double OFF = 0.036;

    private static GossipRecord drawn(Random r, int gateway, int classes) {
        GossipRecord s =
                new GossipRecord(
                        new Incarnation(gateway, (long) NOW - r.nextInt(1_000_000)), r.nextInt());
        for (int c = 0; c < classes; c++) {
            s.offeredUnits[c] = r.nextInt(4) == 0 ? 0 : Math.exp(r.nextDouble() * 12);
            s.admittedUnits[c] =
                    r.nextInt(3) == 0
                            ? 0
                            : r.nextInt(2) == 0
                                    ? s.offeredUnits[c]
                                    : s.offeredUnits[c] * r.nextDouble();
        }
        s.firstAttempts = r.nextDouble() * 5000;
        s.capacity = r.nextDouble() * 500;
        s.retriesCededTo = r.nextBoolean() ? null : new Incarnation(gateway + 1, (long) NOW - 1);
        s.retriesCeded = s.retriesCededTo == null ? 0 : r.nextInt(10_000_000) / 8.0;
        for (int i = r.nextInt(GossipRecord.MAX_SERVERS + 1); i > 0; i--) {
            s.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            r.nextInt(), r.nextBoolean(), 1 + r.nextInt(50_000)));
        }
        return s;
    }

    private static byte[] message(double age, GossipRecord... records) {
        ByteBuffer m = GossipCodec.newMessage(256);
        for (GossipRecord s : records) {
            assertTrue(GossipCodec.addRecord(m, GossipCodec.encode(s, 5000), age));
        }
        return GossipCodec.toBytes(m);
    }

    private static List<GossipCodec.Received> read(byte[] m) {
        return new GossipCodec(10, 5000).read(m, NOW);
    }

    private static void near(double found, double wanted) {
        assertTrue(
                Math.abs(found - wanted) <= OFF * wanted + (wanted < 1.0 / 64 ? 1.0 / 64 : 0),
                found + ", wanted " + wanted);
    }

    @Test
    public void thereAndBack() {
        Random r = new Random(3);
        for (int i = 0; i < 2000; i++) {
            GossipRecord s = drawn(r, i % 10, r.nextInt(GossipRecord.PRIORITY_CLASSES + 1));
            double age = r.nextDouble() * 60_000;
            GossipCodec.Received t = read(message(age, s)).get(0);
            assertEquals(t.record().incarnation, s.incarnation);
            assertEquals(t.record().sequence, s.sequence);
            assertEquals(t.madeAtMs(), 5000.0);
            assertTrue(
                    t.ageMs() >= age && t.ageMs() < age + 2,
                    "age " + age + " told as " + t.ageMs());
            assertTrue(t.encoded().length <= GossipCodec.MAX_RECORD_BYTES);
            assertEquals(t.record().retriesCededTo, s.retriesCededTo);
            assertEquals(t.record().retriesCeded, s.retriesCeded, 0.1);
            near(t.record().firstAttempts, s.firstAttempts);
            near(t.record().capacity, s.capacity);
            for (int c = 0; c < GossipRecord.PRIORITY_CLASSES; c++) {
                near(t.record().offeredUnits[c], s.offeredUnits[c]);
                near(t.record().admittedUnits[c], s.admittedUnits[c]);
            }
            for (int k = 0; k < s.serverHealth.size(); k++) {
                GossipRecord.ServerHealth a = s.serverHealth.get(k);
                GossipRecord.ServerHealth b = t.record().serverHealth.get(k);
                assertTrue(
                        a.serverHash() == b.serverHash()
                                && a.unhealthy() == b.unhealthy()
                                && Math.abs(a.agoMs() - b.agoMs()) <= 0.05 * a.agoMs(),
                        a + " " + b);
            }
        }
    }

    @DataProvider
    public Object[][] refused() {
        GossipRecord good = drawn(new Random(1), 3, 14);
        byte[] m = message(0, good);
        byte[] version = m.clone();
        version[0] = 2;
        byte[] length = m.clone();
        length[1] += 1;
        byte[] classes = m.clone();
        classes[1 + 29] = GossipRecord.PRIORITY_CLASSES + 1;
        byte[] ills = message(0, new GossipRecord(new Incarnation(1, 5), 1));
        ills[ills.length - 1] = GossipRecord.MAX_SERVERS + 1;
        return new Object[][] {
            {"empty", new byte[0]},
            {"one byte", new byte[] {1}},
            {"another version", version},
            {"torn", Arrays.copyOf(m, m.length - 1)},
            {"longer than its end", length},
            {"classes beyond", classes},
            {"servers beyond", ills},
            {"gateway beyond", message(0, new GossipRecord(new Incarnation(10, 5), 1))},
            {
                "starts in the future",
                message(0, new GossipRecord(new Incarnation(1, (long) NOW + 5001), 1))
            },
            {"too long", Arrays.copyOf(m, 257)},
            {"only heartbeats", new byte[] {1, 0, 0, 0, 0, 0, 0, 0, 0}},
        };
    }

    @Test(dataProvider = "refused")
    public void refusesWhole(String what, byte[] message) {
        assertEquals(read(message), List.of(), what);
    }

    @Test
    public void oneAbsurdRecordOfAnotherCostsOnlyItself() {
        GossipRecord good = new GossipRecord(new Incarnation(1, 5), 1);
        GossipRecord late = new GossipRecord(new Incarnation(2, (long) NOW + 9999), 1);
        List<GossipCodec.Received> read =
                read(message(0, good, late, new GossipRecord(new Incarnation(3, 7), 1)));
        assertEquals(
                read.stream().map(t -> t.record().incarnation.gateway()).toList(), List.of(1, 3));
    }

    @Test
    public void whatALaterVersionAddsIsSkippedAndToldOn() {
        byte[] raw = GossipCodec.encode(drawn(new Random(2), 3, 10), 5000);
        byte[] longer = Arrays.copyOf(raw, raw.length + 9);
        longer[0] += 9;
        longer[raw.length + 4] = 77;
        ByteBuffer m = GossipCodec.newMessage(256);
        GossipCodec.addRecord(m, longer, 0);
        GossipCodec.addRecord(m, raw, 0);
        List<GossipCodec.Received> read = read(GossipCodec.toBytes(m));
        assertEquals(read.size(), 2);
        assertEquals(read.get(0).encoded(), longer);
        assertEquals(read.get(0).record().offeredUnits, read.get(1).record().offeredUnits);
    }

    /**
     * Neither chance bytes nor a good message with some changed, cut or added ever throw, here or
     * in the members.
     */
    @Test
    public void garbageIsHarmless() {
        Random r = new Random(4);
        GossipMembership members =
                new GossipMembership(new Incarnation(0, 5), 10, 100, 2, 3000, 3000, r);
        for (int i = 0; i < 20_000; i++) {
            byte[] m =
                    message(
                            r.nextInt(5000),
                            drawn(r, r.nextInt(10), 8),
                            drawn(r, r.nextInt(10), 3));
            for (int k = r.nextInt(4); k >= 0; k--) {
                m[r.nextInt(m.length)] = (byte) r.nextInt();
            }
            m = Arrays.copyOf(m, r.nextInt(3) == 0 ? r.nextInt(300) : m.length);
            for (GossipCodec.Received t : read(m)) {
                assertTrue(
                        t.record().incarnation.gateway() < 10
                                && t.record().incarnation.start() <= NOW + 5000);
            }
            members.receive(m, r.nextInt(10), NOW + i * 20);
        }
        assertTrue(members.rejectedMessages() > 10_000, "refused " + members.rejectedMessages());
        assertFalse(members.aliveCount() > 10);
    }

    @Test
    public void aUsualRecordIsShort() {
        GossipRecord s = new GossipRecord(new Incarnation(1, 5), 1);
        Arrays.fill(s.offeredUnits, 4, 20, 100);
        Arrays.fill(s.admittedUnits, 10, 20, 100);
        s.admittedUnits[9] = 30;
        s.serverHealth.add(new GossipRecord.ServerHealth(1, true, 100));
        s.retriesCededTo = null;
        assertTrue(GossipCodec.encode(s, 0).length <= 60, "" + GossipCodec.encode(s, 0).length);
        Arrays.fill(s.offeredUnits, 100);
        Arrays.fill(s.admittedUnits, 50);
        assertTrue(
                GossipCodec.encode(s, 0).length * 2 + 1 <= GossipCodec.MAX_MESSAGE_BYTES,
                "two of the longest don't fit");
    }
}
