package tinford.fleet.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.transport.InMemoryNetwork;

/** Fleets of many sizes in virtual time: who is known to live, how soon, at what cost. */
public class GossipMembershipTest {
    /** Whether each counts so many; of 400, one in a hundred may be missing at each. */
    private static boolean all(SimulatedGossipFleet f, int living) {
        for (int i = 0; i < f.members.length; i++) {
            if (!f.stopped[i]
                    && Math.abs(f.members[i].aliveCount() - living)
                            > (f.members.length == 400 ? 4 : 0)) {
                return false;
            }
        }
        return true;
    }

    private static double upTo(SimulatedGossipFleet f, double most) {
        double took = f.until(most, () -> all(f, f.members.length));
        assertTrue(took < most, "all known after " + took);
        return took;
    }

    private static int least(SimulatedGossipFleet f) {
        int least = f.members.length;
        for (int i = 0; i < f.members.length; i++) {
            least = f.stopped[i] ? least : Math.min(least, f.members[i].aliveCount());
        }
        return least;
    }

    /** Gateways, suspected after, and within what all know of one another at the start. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{5, 2000.0, 2000.0}, {14, 3000.0, 3000.0}, {100, 6000.0, 8000.0}};
    }

    @Test(dataProvider = "sizes")
    public void lossAndRestartAreKnown(int n, double suspectAfter, double within) {
        lostAndBack(n, suspectAfter, within);
    }

    @Test(groups = "long")
    public void lossAndRestartAreKnownBy400() {
        lostAndBack(400, 20_000, 30_000);
    }

    private static void lostAndBack(int n, double suspectAfter, double within) {
        SimulatedGossipFleet f = new SimulatedGossipFleet(n, suspectAfter, suspectAfter / 2, 5);
        f.net.setLink(new InMemoryNetwork.Link(1, 2, 0.01, 0.01, 0.01, 50));
        upTo(f, within);
        double from = f.now;
        long sent = f.net.sentMessages();
        long bytes = f.net.sentBytes();
        f.run(2000);
        assertTrue(least(f) >= n - 1 - n / 80, "wrongly suspected: sees " + least(f));
        double messages = (f.net.sentMessages() - sent) * 1000.0 / (f.now - from) / n;
        double perSecond = (f.net.sentBytes() - bytes) * 1000.0 / (f.now - from) / n;
        assertEquals(messages, 20, 0.5, "messages a second a gateway");
        assertTrue(perSecond <= 20.5 * 256, "bytes a second a gateway " + perSecond);

        int lost = n / 2;
        f.until(20_000, () -> Arrays.stream(f.members).allMatch(m -> m.newestRecord(lost) != null));
        f.kill(lost);
        double gone =
                f.until(
                        suspectAfter + 10_000,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (i != lost && f.members[i].isAlive(lost)) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(
                gone <= suspectAfter + 2 * SimulatedGossipFleet.EVERY,
                "loss known by all after " + gone);
        f.start(lost, (long) f.now);
        double back =
                f.until(
                        10_000,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (!f.members[i].isAlive(lost)
                                        || f.members[i].incarnation(lost).start()
                                                != f.members[lost].incarnation(lost).start()) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(back < 1500 + n * 10, "restart known by all after " + back);
    }

    @Test(dataProvider = "sizes")
    public void halvesCutAndHealed(int n, double suspectAfter, double within) {
        SimulatedGossipFleet f = new SimulatedGossipFleet(n, suspectAfter, suspectAfter / 2, 6);
        f.run(2 * within);
        int half = n / 2;
        cut(f, half, true);
        double seen =
                f.until(
                        2 * suspectAfter,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (f.members[i].aliveCount() != (i < half ? half : n - half)) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(
                seen <= suspectAfter + 2 * SimulatedGossipFleet.EVERY, "halves seen after " + seen);
        assertEquals(f.members[0].fleetSize(), n);
        cut(f, half, false);
        upTo(f, within);
    }

    private static void cut(SimulatedGossipFleet f, int half, boolean on) {
        for (int i = 0; i < half; i++) {
            for (int j = half; j < f.members.length; j++) {
                f.net.setCutBothWays(i, j, on);
            }
        }
    }

    @Test
    public void lossAndDoublingCostAgeOnly() {
        SimulatedGossipFleet f = new SimulatedGossipFleet(14, 3000, 3000, 7);
        f.net.setLink(new InMemoryNetwork.Link(1, 30, 0.3, 0.3, 0.1, 300));
        upTo(f, 5000);
        for (int i = 0; i < 200; i++) {
            f.round();
            assertTrue(least(f) >= 13, "suspected at " + f.now + ": " + least(f));
        }
    }

    /**
     * Some gateways see five times as much as others; the sum is the mean of the fresh records
     * times those that live.
     */
    @Test
    public void sumOfUnevenGateways() {
        for (int n : new int[] {5, 14, 100}) {
            SimulatedGossipFleet f = new SimulatedGossipFleet(n, 6000, 5000, 8);
            double sum = 0;
            for (int i = 0; i < n; i++) {
                f.sees[i] = i % 5 == 0 ? 5 : 1;
                sum += 50 * f.sees[i];
            }
            f.run(n * 200);
            double worst = 0;
            double mean = 0;
            for (GossipMembership m : f.members) {
                double estimate =
                        m.freshRecords().stream()
                                        .mapToDouble(s -> s.firstAttempts)
                                        .average()
                                        .orElse(0)
                                * m.aliveCount();
                worst = Math.max(worst, Math.abs(estimate / sum - 1));
                mean += Math.abs(estimate / sum - 1) / n;
            }
            assertTrue(
                    worst < (n < 100 ? 0.04 : 0.2) && mean < 0.05,
                    n + " gateways, off by " + mean + ", worst " + worst);
        }
    }

    /**
     * Stopped for long, with what came meanwhile waiting for it: nobody is accused, and no dead one
     * brought to life.
     */
    @Test
    public void wakesUpAfterALongPause() {
        SimulatedGossipFleet f = new SimulatedGossipFleet(14, 3000, 1500, 9);
        f.run(3000);
        f.net.pause(3);
        f.stopped[3] = true;
        f.run(100);
        f.kill(7);
        f.run(30_000);
        f.net.resume(3);
        f.stopped[3] = false;
        f.net.advance(f.now + 1);
        assertTrue(
                f.members[3].recordAgeMs(7) > 29_000 && f.members[3].silenceMs(7) > 29_000,
                "a stale record counts as " + f.members[3].silenceMs(7));
        for (int i = 0; i < 60; i++) {
            f.round();
            assertTrue(
                    f.members[3].aliveCount() >= 13,
                    "accuses after its pause: sees " + f.members[3].aliveCount());
            for (int j = 0; j < 14; j++) {
                assertFalse(
                        j != 3 && j != 7 && f.members[j].isAlive(7),
                        "brought to life by stale records at " + j);
            }
        }
        assertFalse(f.members[3].isAlive(7));
        assertTrue(all(f, 13));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    /**
     * Messages may be 2 s late, and wait for a stopped gateway for any time. Over drawn histories
     * of losses, cuts, stops and restarts nothing is known before it was made, nor counts as
     * fresher than it is by more than two late ways (of an incarnation first heard of over them).
     */
    @Test(dataProvider = "seeds")
    public void nothingIsFresherThanItIs(long seed) {
        SimulatedGossipFleet f = new SimulatedGossipFleet(7, 3000, 1500, seed);
        Random r = new Random(seed);
        f.net.setLink(new InMemoryNetwork.Link(1, 20, 0.2, 0.2, 0.05, 2000));
        double[][] since = new double[7][7];
        Incarnation[][] known = new Incarnation[7][7];
        double worst = 0;
        for (int i = 0; i < 900; i++) {
            disturb(f, r);
            f.round();
            for (int a = 0; a < 7; a++) {
                for (int b = 0; b < 7; b++) {
                    GossipMembership m = f.members[a];
                    if (a == b || f.stopped[a] || m.newestRecord(b) == null) {
                        continue;
                    }
                    if (!m.incarnation(b).equals(known[a][b])) {
                        known[a][b] = m.incarnation(b);
                        since[a][b] = f.now;
                    }
                    java.util.List<Double> made = f.made.get(m.incarnation(b));
                    assertTrue(
                            made != null && m.newestRecord(b).sequence < made.size(),
                            "known before it was made");
                    double tooLow = f.now - made.get(m.newestRecord(b).sequence) - m.recordAgeMs(b);
                    assertTrue(tooLow > -3120, "counts as older than it is by " + -tooLow);
                    if (!f.stopped[b] && f.now - since[a][b] > 3000) {
                        worst = Math.max(worst, tooLow);
                    }
                }
            }
        }
        assertTrue(worst < 2 * 2021 + 150, "counts as fresher than it is by " + worst);
    }

    private static void disturb(SimulatedGossipFleet f, Random r) {
        int a = r.nextInt(7);
        int b = (a + 1 + r.nextInt(6)) % 7;
        switch (r.nextInt(60)) {
            case 0, 1 -> f.net.setCut(a, b, true);
            case 2, 3 -> f.net.setCut(a, b, false);
            case 4 -> {
                f.kill(a);
                f.net.resume(a);
                f.net.advance(f.now);
                f.start(a, (long) f.now);
            }
            case 5 -> {
                f.net.pause(a);
                f.stopped[a] = true;
            }
            case 6, 7, 8 -> {
                f.net.resume(a);
                f.stopped[a] = false;
            }
            default -> {}
        }
    }

    @Test
    public void alone() {
        SimulatedGossipFleet f = new SimulatedGossipFleet(5, 1000, 1000, 10);
        for (int i = 1; i < 5; i++) {
            f.kill(i);
        }
        f.run(2000);
        assertEquals(f.members[0].aliveCount(), 1);
        assertEquals(f.members[0].fleetSize(), 5);
        assertEquals(f.members[0].aliveGateways(), java.util.List.of(0));
        assertEquals(f.members[0].freshRecords().size(), 1);
    }

    private static byte[] told(long start, int seq, double made) {
        ByteBuffer m = GossipCodec.newMessage(256);
        GossipCodec.addRecord(
                m, GossipCodec.encode(new GossipRecord(new Incarnation(1, start), seq), made), 0);
        return GossipCodec.toBytes(m);
    }

    @Test
    public void theLaterIncarnationWins() {
        GossipMembership m =
                new GossipMembership(new Incarnation(0, 0), 2, 100, 1, 1000, 1000, new Random(1));
        m.receive(told(500, 900, 500), 1, 1000);
        m.receive(told(1000, 1, 50), 1, 1050);
        m.receive(told(500, 901, 600), 1, 1100);
        assertEquals(m.incarnation(1).start(), 1000);
        m.receive(told(1000, 0, 40), 1, 1110);
        assertEquals(m.newestRecord(1).sequence, 1);
        for (int t = 1200; t < 10_000; t += 500) {
            m.receive(told(500, t, t - 500), 1, t);
            assertEquals(
                    m.incarnation(1).start(), 1000, "an earlier incarnation came back at " + t);
        }
        assertFalse(m.isAlive(1));
        m.receive(told(500, 20_000, 11_500), 1, 12_000);
        m.receive(told(500, 20_000, 11_650), 1, 12_150);
        assertEquals(m.incarnation(1).start(), 500, "the upgrade failed long ago");
        m.receive(told(500, 20_001, 11_700), 0, 12_200);
        assertEquals(m.rejectedMessages(), 1);
    }

    @Test
    public void takesABoundedNumberASecond() {
        GossipMembership m =
                new GossipMembership(new Incarnation(0, 0), 2, 100, 1, 1000, 1000, new Random(1));
        for (int i = 0; i < 10_000; i++) {
            m.receive(told(500, i, i), 1, 1000 + i / 10.0);
        }
        assertTrue(m.rateLimitedMessages() >= 9900, "taken " + (10_000 - m.rateLimitedMessages()));
    }
}
