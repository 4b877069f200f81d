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
import tinford.fleet.transport.InMemoryNetwork;

/** Failure detection in fleets of several sizes in virtual time, and the traffic that it takes. */
public class GossipMembershipTest {
    /** Whether each gateway counts this many alive ones; in a fleet of 400 it may be off by 4. */
    private static boolean allCount(SimulatedGossipFleet fleet, int expected) {
        for (int i = 0; i < fleet.members.length; i++) {
            if (!fleet.stopped[i]
                    && Math.abs(fleet.members[i].aliveCount() - expected)
                            > (fleet.members.length == 400 ? 4 : 0)) {
                return false;
            }
        }
        return true;
    }

    private static double runUntilAllKnown(SimulatedGossipFleet fleet, double maxMs) {
        double tookMs = fleet.runUntil(maxMs, () -> allCount(fleet, fleet.members.length));
        assertTrue(tookMs < maxMs, "not all gateways known to all after " + tookMs + " ms");
        return tookMs;
    }

    private static int minAliveCount(SimulatedGossipFleet fleet) {
        int min = fleet.members.length;
        for (int i = 0; i < fleet.members.length; i++) {
            min = fleet.stopped[i] ? min : Math.min(min, fleet.members[i].aliveCount());
        }
        return min;
    }

    /** Fleet size, suspicion timeout, and time in ms until all gateways must know each other. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{5, 2000.0, 2000.0}, {14, 3000.0, 3000.0}, {100, 6000.0, 8000.0}};
    }

    @Test(dataProvider = "sizes")
    public void detectsLossAndRestart(int n, double suspectAfterMs, double withinMs) {
        checkLossAndRestart(n, suspectAfterMs, withinMs);
    }

    @Test(groups = "long")
    public void detectsLossAndRestartIn400Gateways() {
        checkLossAndRestart(400, 20_000, 30_000);
    }

    private static void checkLossAndRestart(int n, double suspectAfterMs, double withinMs) {
        SimulatedGossipFleet fleet =
                new SimulatedGossipFleet(n, suspectAfterMs, suspectAfterMs / 2, 5);
        fleet.network.setLink(new InMemoryNetwork.Link(1, 2, 0.01, 0.01, 0.01, 50));
        runUntilAllKnown(fleet, withinMs);
        double from = fleet.nowMs;
        long sent = fleet.network.sentMessages();
        long bytes = fleet.network.sentBytes();
        fleet.run(2000);
        assertTrue(
                minAliveCount(fleet) >= n - 1 - n / 80,
                "live gateways suspected, one counts only " + minAliveCount(fleet));
        double messages = (fleet.network.sentMessages() - sent) * 1000.0 / (fleet.nowMs - from) / n;
        double bytesPerSecond =
                (fleet.network.sentBytes() - bytes) * 1000.0 / (fleet.nowMs - from) / n;
        assertEquals(messages, 20, 0.5, "messages per second and gateway");
        assertTrue(bytesPerSecond <= 20.5 * 256, "bytes per second and gateway: " + bytesPerSecond);

        int stopped = n / 2;
        fleet.runUntil(
                20_000,
                () -> Arrays.stream(fleet.members).allMatch(m -> m.newestRecord(stopped) != null));
        fleet.kill(stopped);
        double detectedMs =
                fleet.runUntil(
                        suspectAfterMs + 10_000,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (i != stopped && fleet.members[i].isAlive(stopped)) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(
                detectedMs <= suspectAfterMs + 2 * SimulatedGossipFleet.ROUND_INTERVAL_MS,
                "failure detected by all after " + detectedMs + " ms");
        fleet.start(stopped, (long) fleet.nowMs);
        double restartKnownMs =
                fleet.runUntil(
                        10_000,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (!fleet.members[i].isAlive(stopped)
                                        || fleet.members[i].incarnation(stopped).start()
                                                != fleet.members[stopped]
                                                        .incarnation(stopped)
                                                        .start()) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(
                restartKnownMs < 1500 + n * 10,
                "restart known to all after " + restartKnownMs + " ms");
    }

    @Test(dataProvider = "sizes")
    public void detectsAPartitionAndItsEnd(int n, double suspectAfterMs, double withinMs) {
        SimulatedGossipFleet fleet =
                new SimulatedGossipFleet(n, suspectAfterMs, suspectAfterMs / 2, 6);
        fleet.run(2 * withinMs);
        int half = n / 2;
        cut(fleet, half, true);
        double detectedMs =
                fleet.runUntil(
                        2 * suspectAfterMs,
                        () -> {
                            for (int i = 0; i < n; i++) {
                                if (fleet.members[i].aliveCount() != (i < half ? half : n - half)) {
                                    return false;
                                }
                            }
                            return true;
                        });
        assertTrue(
                detectedMs <= suspectAfterMs + 2 * SimulatedGossipFleet.ROUND_INTERVAL_MS,
                "partition detected after " + detectedMs + " ms");
        assertEquals(fleet.members[0].fleetSize(), n);
        cut(fleet, half, false);
        runUntilAllKnown(fleet, withinMs);
    }

    private static void cut(SimulatedGossipFleet fleet, int half, boolean on) {
        for (int i = 0; i < half; i++) {
            for (int j = half; j < fleet.members.length; j++) {
                fleet.network.setCutBothWays(i, j, on);
            }
        }
    }

    @Test
    public void suspectsNoGatewayDespiteLossAndDuplication() {
        SimulatedGossipFleet fleet = new SimulatedGossipFleet(14, 3000, 3000, 7);
        fleet.network.setLink(new InMemoryNetwork.Link(1, 30, 0.3, 0.3, 0.1, 300));
        runUntilAllKnown(fleet, 5000);
        for (int i = 0; i < 200; i++) {
            fleet.round();
            assertTrue(
                    minAliveCount(fleet) >= 13,
                    "suspected at " + fleet.nowMs + ", one counts only " + minAliveCount(fleet));
        }
    }

    /**
     * The load of the fleet is estimated as the mean of the fresh records times the number of alive
     * gateways, although some gateways have five times the load of others.
     */
    @Test
    public void estimatesTheTotalOverUnevenlyLoadedGateways() {
        for (int n : new int[] {5, 14, 100}) {
            SimulatedGossipFleet fleet = new SimulatedGossipFleet(n, 6000, 5000, 8);
            double sum = 0;
            for (int i = 0; i < n; i++) {
                fleet.loadFactors[i] = i % 5 == 0 ? 5 : 1;
                sum += 50 * fleet.loadFactors[i];
            }
            fleet.run(n * 200);
            double worst = 0;
            double mean = 0;
            for (GossipMembership m : fleet.members) {
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
                    n + " gateways: mean relative error " + mean + ", largest " + worst);
        }
    }

    /**
     * A gateway that resumes after a long suspension, and then receives all messages queued in the
     * meantime, suspects no live gateway, and no gateway takes a stopped one for alive.
     */
    @Test
    public void neitherSuspectsNorRevivesAfterALongSuspension() {
        SimulatedGossipFleet fleet = new SimulatedGossipFleet(14, 3000, 1500, 9);
        fleet.run(3000);
        fleet.network.pause(3);
        fleet.stopped[3] = true;
        fleet.run(100);
        fleet.kill(7);
        fleet.run(30_000);
        fleet.network.resume(3);
        fleet.stopped[3] = false;
        fleet.network.advance(fleet.nowMs + 1);
        assertTrue(
                fleet.members[3].recordAgeMs(7) > 29_000 && fleet.members[3].silenceMs(7) > 29_000,
                "a stale record counts as fresh, silent for ms: " + fleet.members[3].silenceMs(7));
        for (int i = 0; i < 60; i++) {
            fleet.round();
            assertTrue(
                    fleet.members[3].aliveCount() >= 13,
                    "suspects live gateways after its suspension, counts only "
                            + fleet.members[3].aliveCount());
            for (int j = 0; j < 14; j++) {
                assertFalse(
                        j != 3 && j != 7 && fleet.members[j].isAlive(7),
                        "a stopped gateway counts as alive at gateway " + j);
            }
        }
        assertFalse(fleet.members[3].isAlive(7));
        assertTrue(allCount(fleet, 13));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    /**
     * Random histories of losses, partitions, suspensions and restarts. Messages are delayed by up
     * to 2 s, and by any time if the receiver is suspended. The stated age of a record is never too
     * low by more than two delays, and no record is known before it was created.
     */
    @Test(dataProvider = "seeds")
    public void ageOfARecordIsNotUnderstated(long seed) {
        SimulatedGossipFleet fleet = new SimulatedGossipFleet(7, 3000, 1500, seed);
        Random random = new Random(seed);
        fleet.network.setLink(new InMemoryNetwork.Link(1, 20, 0.2, 0.2, 0.05, 2000));
        double[][] since = new double[7][7];
        Incarnation[][] known = new Incarnation[7][7];
        double worst = 0;
        for (int i = 0; i < 900; i++) {
            injectFault(fleet, random);
            fleet.round();
            for (int a = 0; a < 7; a++) {
                for (int b = 0; b < 7; b++) {
                    GossipMembership membership = fleet.members[a];
                    if (a == b || fleet.stopped[a] || membership.newestRecord(b) == null) {
                        continue;
                    }
                    if (!membership.incarnation(b).equals(known[a][b])) {
                        known[a][b] = membership.incarnation(b);
                        since[a][b] = fleet.nowMs;
                    }
                    List<Double> createdMs = fleet.createdMs.get(membership.incarnation(b));
                    assertTrue(
                            createdMs != null
                                    && membership.newestRecord(b).sequence < createdMs.size(),
                            "a record is known that was not created yet");
                    double understatedMs =
                            fleet.nowMs
                                    - createdMs.get(membership.newestRecord(b).sequence)
                                    - membership.recordAgeMs(b);
                    assertTrue(
                            understatedMs > -3120, "stated age too high by ms: " + -understatedMs);
                    if (!fleet.stopped[b] && fleet.nowMs - since[a][b] > 3000) {
                        worst = Math.max(worst, understatedMs);
                    }
                }
            }
        }
        assertTrue(worst < 2 * 2021 + 150, "stated age too low by ms: " + worst);
    }

    private static void injectFault(SimulatedGossipFleet fleet, Random random) {
        int a = random.nextInt(7);
        int b = (a + 1 + random.nextInt(6)) % 7;
        switch (random.nextInt(60)) {
            case 0, 1 -> fleet.network.setCut(a, b, true);
            case 2, 3 -> fleet.network.setCut(a, b, false);
            case 4 -> {
                fleet.kill(a);
                fleet.network.resume(a);
                fleet.network.advance(fleet.nowMs);
                fleet.start(a, (long) fleet.nowMs);
            }
            case 5 -> {
                fleet.network.pause(a);
                fleet.stopped[a] = true;
            }
            case 6, 7, 8 -> {
                fleet.network.resume(a);
                fleet.stopped[a] = false;
            }
            default -> {}
        }
    }

    @Test
    public void gatewayWithoutPeersCountsOnlyItself() {
        SimulatedGossipFleet fleet = new SimulatedGossipFleet(5, 1000, 1000, 10);
        for (int i = 1; i < 5; i++) {
            fleet.kill(i);
        }
        fleet.run(2000);
        assertEquals(fleet.members[0].aliveCount(), 1);
        assertEquals(fleet.members[0].fleetSize(), 5);
        assertEquals(fleet.members[0].aliveGateways(), List.of(0));
        assertEquals(fleet.members[0].freshRecords().size(), 1);
    }

    private static byte[] message(long start, int sequence, double uptimeMs) {
        ByteBuffer buffer = GossipCodec.newMessage(256);
        GossipCodec.addRecord(
                buffer,
                GossipCodec.encode(new GossipRecord(new Incarnation(1, start), sequence), uptimeMs),
                0);
        return GossipCodec.toBytes(buffer);
    }

    @Test
    public void prefersTheLaterIncarnation() {
        GossipMembership membership =
                new GossipMembership(new Incarnation(0, 0), 2, 100, 1, 1000, 1000, new Random(1));
        membership.receive(message(500, 900, 500), 1, 1000);
        membership.receive(message(1000, 1, 50), 1, 1050);
        membership.receive(message(500, 901, 600), 1, 1100);
        assertEquals(membership.incarnation(1).start(), 1000);
        membership.receive(message(1000, 0, 40), 1, 1110);
        assertEquals(membership.newestRecord(1).sequence, 1);
        for (int t = 1200; t < 10_000; t += 500) {
            membership.receive(message(500, t, t - 500), 1, t);
            assertEquals(
                    membership.incarnation(1).start(),
                    1000,
                    "an earlier incarnation was accepted again at " + t);
        }
        assertFalse(membership.isAlive(1));
        membership.receive(message(500, 20_000, 11_500), 1, 12_000);
        membership.receive(message(500, 20_000, 11_650), 1, 12_150);
        assertEquals(
                membership.incarnation(1).start(),
                500,
                "an earlier incarnation was not accepted after a long silence");
        membership.receive(message(500, 20_001, 11_700), 0, 12_200);
        assertEquals(membership.rejectedMessages(), 1);
    }

    @Test
    public void limitsTheRateOfMessages() {
        GossipMembership membership =
                new GossipMembership(new Incarnation(0, 0), 2, 100, 1, 1000, 1000, new Random(1));
        for (int i = 0; i < 10_000; i++) {
            membership.receive(message(500, i, i), 1, 1000 + i / 10.0);
        }
        assertTrue(
                membership.rateLimitedMessages() >= 9900,
                "accepted " + (10_000 - membership.rateLimitedMessages()));
    }
}
