package tinford.fleet.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/** Division of connections among accounts: max-min fairness and its bounds. */
public class BudgetFairnessTest {
    private static final LongFunction<GrantProposer.Plan> PLANS =
            a -> new GrantProposer.Plan(1 + (int) (a % 4), a % 3 == 0 ? 2 : 0, 40);

    /** Log: offered, taken, read. */
    private static final double LOG = 50 + SimulatedBudgetFleet.STEP_MS;

    /**
     * An ask; the proposal; the let-go, once answered; the second proposal; each with its way
     * through the log.
     */
    static final double UP =
            4 * (SimulatedBudgetFleet.INTERVAL_MS + LOG) + SimulatedBudgetFleet.SERVICE_MS;

    /** What is no longer wanted is told that long after. */
    static final double DOWN =
            UP + 2 * (SimulatedBudgetFleet.RETENTION_MS + SimulatedBudgetFleet.INTERVAL_MS);

    private static SimulatedBudgetFleet fleet(
            int seed, int size, int servers, int offer, double part) {
        Map<String, Integer> offers = new LinkedHashMap<>();
        for (int s = 0; s < servers; s++) {
            offers.put("s" + s, offer);
        }
        SimulatedBudgetFleet f =
                new SimulatedBudgetFleet(seed, size, offers, part, PLANS, null, null);
        f.run(2000);
        return f;
    }

    private static int[] exact(SimulatedBudgetFleet f, int accounts) {
        int[][] in = new int[3][accounts];
        for (int a = 0; a < accounts; a++) {
            long id = a;
            in[0][a] = PLANS.apply(a).weight();
            in[1][a] = PLANS.apply(a).floor();
            in[2][a] =
                    Math.min(
                            40,
                            f.gateways.stream().mapToInt(g -> g.demands.getOrDefault(id, 0)).sum());
        }
        return MaxMinFairness.divide(
                f.capacities.values().stream().mapToInt(n -> n).sum(), in[0], in[1], in[2]);
    }

    private static int off(SimulatedBudgetFleet f, int[] exact) {
        int off = 0;
        for (int a = 0; a < exact.length; a++) {
            off = Math.max(off, exact[a] - Math.min(f.granted(a), f.attemptsInFlight(a)));
        }
        return off;
    }

    @Test
    public void reachesTheExactDivisionWithinTheStatedTimeAfterEachChange() {
        exactWithinTheStatedTime(4, 5);
    }

    @Test(groups = "long")
    public void reachesTheExactDivisionOverManyMoreChanges() {
        exactWithinTheStatedTime(60, 5);
    }

    private static void exactWithinTheStatedTime(int histories, long drawn) {
        Random random = new Random(drawn);
        double use = Double.MAX_VALUE;
        for (int seed = 0; seed < histories; seed++) {
            int size = 2 + random.nextInt(4);
            SimulatedBudgetFleet f =
                    fleet(seed, size, 1 + random.nextInt(4), 1 + random.nextInt(25), 0);
            for (int change = 0; change < 5; change++) {
                for (SimulatedBudgetFleet.Gateway g : f.gateways) {
                    g.demands.clear();
                    for (long a = 0; a < 8; a++) {
                        if (random.nextInt(2) == 0) {
                            g.demands.put(a, 1 + random.nextInt(30));
                        }
                    }
                }
                if (change == 3) {
                    f.offer("s0", 1 + random.nextInt(25), 2);
                }
                int[] exact = exact(f, 8);
                double start = f.nowMs;
                double reached = start;
                double used = 0;
                int steps = 0;
                while (f.nowMs < start + DOWN + 2000) {
                    f.step();
                    f.nowMs += SimulatedBudgetFleet.STEP_MS;
                    int off = off(f, exact);
                    if (off > 0) {
                        reached = f.nowMs;
                    }
                    if (f.nowMs > start + DOWN) {
                        steps++;
                        for (long a = 0; a < 8; a++) {
                            used += f.attemptsInFlight(a);
                        }
                    }
                }
                assertTrue(
                        reached - start <= DOWN,
                        "history "
                                + seed
                                + ", change "
                                + change
                                + ": "
                                + (reached - start)
                                + " ms");
                int sum = java.util.Arrays.stream(exact).sum();
                use = Math.min(use, sum == 0 ? 1 : used / steps / sum);
            }
            assertTrue(f.worstExcess <= 0);
        }
        assertTrue(use > 0.95, "use " + use);
    }

    @Test
    public void grantsAFloorWithinTheStatedTimeWhileOthersHoldAll() {
        SimulatedBudgetFleet f = fleet(1, 3, 2, 12, 0);
        for (SimulatedBudgetFleet.Gateway g : f.gateways) {
            g.demands.put(3L, 99);
            g.demands.put(7L, 99);
        }
        f.run(6000);
        f.gateways.get(0).demands.put(0L, 9);
        double start = f.nowMs;
        while (f.attemptsInFlight(0) < 2) {
            f.run(SimulatedBudgetFleet.STEP_MS);
            assertTrue(f.nowMs - start <= UP, "no floor after " + UP + " ms");
        }
    }

    @Test
    public void changingDemandDoesNotMoveGrants() {
        SimulatedBudgetFleet f = fleet(2, 3, 3, 10, 0.2);
        for (int k = 0; k < 20; k++) {
            f.gateways.get(0).demands.put(1L, 9);
            f.gateways.get(1).demands.put(2L, k % 2 == 0 ? 20 : 1);
            f.gateways.get(2).demands.put(3L, k % 2 == 0 ? 2 : 18);
            long before = f.gateways.get(0).ledger.acceptedGrants();
            f.run(700);
            assertTrue(
                    k < 5 || f.gateways.get(0).ledger.acceptedGrants() == before,
                    "grants flap in turn " + k);
        }
    }

    @Test
    public void releasesTheGrantsOfADeadGatewayAfterLeaseSkewAndLinger() {
        SimulatedBudgetFleet f = fleet(3, 3, 2, 10, 0);
        f.gateways.get(0).demands.put(3L, 40);
        f.run(4000);
        assertEquals(f.granted(3), 20);
        SimulatedBudgetFleet.Gateway dead = f.gateways.get(0);
        dead.deadUntilMs = Double.MAX_VALUE;
        f.leader = 1;
        f.gateways.get(1).demands.put(7L, 40);
        double start = f.nowMs;
        double stated =
                SimulatedBudgetFleet.LEASE_MS
                        + 2 * SimulatedBudgetFleet.CLOCK_SKEW_MS
                        + SimulatedBudgetFleet.LINGER_MS
                        + UP;
        while (f.attemptsInFlight(7) < 18) {
            f.run(SimulatedBudgetFleet.STEP_MS);
            assertTrue(f.nowMs - start <= stated, "not back after " + stated);
        }
        assertTrue(f.worstExcess <= 0);
    }

    @Test
    public void withoutAMajorityEachGatewayUsesItsStaticShare() {
        SimulatedBudgetFleet f = fleet(4, 4, 2, 13, 0.5);
        for (SimulatedBudgetFleet.Gateway g : f.gateways) {
            g.demands.put(1L, 20);
            g.demands.put(2L, 20);
        }
        f.run(4000);
        f.noMajorityUntilMs = Double.MAX_VALUE;
        f.run(SimulatedBudgetFleet.LEASE_MS + SimulatedBudgetFleet.LINGER_MS);
        Map<String, Integer> sums = new TreeMap<>();
        for (SimulatedBudgetFleet.Gateway g : f.gateways) {
            f.capacities
                    .keySet()
                    .forEach(
                            s ->
                                    sums.merge(
                                            s,
                                            g.budget.connectionLimit(s, f.nowMs + g.clockOffsetMs),
                                            Integer::sum));
            assertTrue(
                    g.budget.attemptLimit(1, f.nowMs + g.clockOffsetMs) >= 1
                            && g.budget.attemptLimit(2, f.nowMs + g.clockOffsetMs) >= 1);
        }
        assertEquals(sums, Map.of("s0", 6, "s1", 6));
        int out = 0;
        for (int k = 0; k < 100; k++) {
            f.run(SimulatedBudgetFleet.STEP_MS);
            out += f.attemptsInFlight(1) + f.attemptsInFlight(2);
        }
        assertTrue(out > 1100, "the static share is not used: " + out / 100.0 + " of 12");
    }

    @Test
    public void dividesFewerConnectionsThanGatewaysAmongManyAccounts() {
        SimulatedBudgetFleet f = fleet(6, 5, 1, 3, 1);
        f.gateways.get(0).demands.put(9_999L, 5);
        for (int g = 0; g < 5; g++) {
            f.gateways.get(g).demands.put(1L + g * 2_000L, 5);
        }
        f.run(5000);
        assertTrue(f.worstExcess <= 0);
        assertEquals(
                f.gateways.stream().mapToInt(g -> g.budget.connectionLimit("s0", f.nowMs)).sum(),
                3);
    }

    @Test
    public void anAccountOverAllGatewaysGetsNoMoreThanOneAtASingleGateway() {
        SimulatedBudgetFleet f = fleet(7, 4, 2, 10, 0);
        f.gateways.get(0).demands.put(3L, 40);
        f.gateways.forEach(g -> g.demands.put(7L, 40));
        f.run(6000);
        assertEquals(f.granted(3), 10);
        assertEquals(f.granted(7), 10);
        f.offer("s0", 4, 9);
        f.run(DOWN);
        assertEquals(f.granted(3) + f.granted(7), 14);
        assertTrue(f.openConnections("s0") <= 4, "an offer that shrank is given back");
    }
}
