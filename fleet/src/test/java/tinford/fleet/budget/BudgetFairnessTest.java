package tinford.fleet.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.testng.annotations.Test;

/** Fair allocation of connections to accounts, and the time within which it is reached. */
public class BudgetFairnessTest {
    private static final LongFunction<GrantProposer.Plan> PLANS =
            a -> new GrantProposer.Plan(1 + (int) (a % 4), a % 3 == 0 ? 2 : 0, 40);

    /** Maximum time for an entry to be proposed, committed and applied. */
    private static final double LOG_LATENCY_MS = 50 + SimulatedBudgetFleet.STEP_MS;

    /**
     * Time within which an increase of demand is granted: a demand report, a proposal that reduces
     * other grants, the report that the connections were released once their requests are answered,
     * and a second proposal. Each takes an interval and the latency of the log.
     */
    static final double INCREASE_TIME_MS =
            4 * (SimulatedBudgetFleet.INTERVAL_MS + LOG_LATENCY_MS)
                    + SimulatedBudgetFleet.SERVICE_MS;

    /** Time within which a decrease of demand, which is reported later, has taken effect. */
    static final double DECREASE_TIME_MS =
            INCREASE_TIME_MS
                    + 2 * (SimulatedBudgetFleet.RETENTION_MS + SimulatedBudgetFleet.INTERVAL_MS);

    private static SimulatedBudgetFleet fleet(
            int seed, int size, int servers, int capacity, double staticPart) {
        Map<String, Integer> capacities = new LinkedHashMap<>();
        for (int server = 0; server < servers; server++) {
            capacities.put("s" + server, capacity);
        }
        SimulatedBudgetFleet fleet =
                new SimulatedBudgetFleet(seed, size, capacities, staticPart, PLANS, null, null);
        fleet.run(2000);
        return fleet;
    }

    private static int[] exactAllocation(SimulatedBudgetFleet fleet, int accounts) {
        int[][] inputs = new int[3][accounts];
        for (int account = 0; account < accounts; account++) {
            long id = account;
            inputs[0][account] = PLANS.apply(account).weight();
            inputs[1][account] = PLANS.apply(account).minimumShare();
            inputs[2][account] =
                    Math.min(
                            40,
                            fleet.gateways.stream()
                                    .mapToInt(gateway -> gateway.demands.getOrDefault(id, 0))
                                    .sum());
        }
        return MaxMinFairness.divide(
                fleet.capacities.values().stream().mapToInt(capacity -> capacity).sum(),
                inputs[0],
                inputs[1],
                inputs[2]);
    }

    private static int shortfall(SimulatedBudgetFleet fleet, int[] exact) {
        int shortfall = 0;
        for (int account = 0; account < exact.length; account++) {
            shortfall =
                    Math.max(
                            shortfall,
                            exact[account]
                                    - Math.min(
                                            fleet.granted(account),
                                            fleet.attemptsInFlight(account)));
        }
        return shortfall;
    }

    @Test
    public void reachesTheExactDivisionWithinTheStatedTimeAfterEachChange() {
        exactWithinTheStatedTime(4, 5);
    }

    @Test(groups = "long")
    public void reachesTheExactDivisionOverManyMoreChanges() {
        exactWithinTheStatedTime(60, 5);
    }

    private static void exactWithinTheStatedTime(int histories, long randomSeed) {
        Random random = new Random(randomSeed);
        double minUse = Double.MAX_VALUE;
        for (int seed = 0; seed < histories; seed++) {
            int size = 2 + random.nextInt(4);
            SimulatedBudgetFleet fleet =
                    fleet(seed, size, 1 + random.nextInt(4), 1 + random.nextInt(25), 0);
            for (int change = 0; change < 5; change++) {
                for (SimulatedBudgetFleet.Gateway gateway : fleet.gateways) {
                    gateway.demands.clear();
                    for (long account = 0; account < 8; account++) {
                        if (random.nextInt(2) == 0) {
                            gateway.demands.put(account, 1 + random.nextInt(30));
                        }
                    }
                }
                if (change == 3) {
                    fleet.offerCapacity("s0", 1 + random.nextInt(25), 2);
                }
                int[] exact = exactAllocation(fleet, 8);
                double start = fleet.nowMs;
                double reached = start;
                double used = 0;
                int steps = 0;
                while (fleet.nowMs < start + DECREASE_TIME_MS + 2000) {
                    fleet.step();
                    fleet.nowMs += SimulatedBudgetFleet.STEP_MS;
                    int shortfall = shortfall(fleet, exact);
                    if (shortfall > 0) {
                        reached = fleet.nowMs;
                    }
                    if (fleet.nowMs > start + DECREASE_TIME_MS) {
                        steps++;
                        for (long account = 0; account < 8; account++) {
                            used += fleet.attemptsInFlight(account);
                        }
                    }
                }
                assertTrue(
                        reached - start <= DECREASE_TIME_MS,
                        "history "
                                + seed
                                + ", change "
                                + change
                                + ": "
                                + (reached - start)
                                + " ms");
                int sum = java.util.Arrays.stream(exact).sum();
                minUse = Math.min(minUse, sum == 0 ? 1 : used / steps / sum);
            }
            assertTrue(fleet.maxExcess <= 0);
        }
        assertTrue(minUse > 0.95, "share of the allocation in use: " + minUse);
    }

    @Test
    public void grantsAMinimumShareWithinTheStatedTimeWhileOthersHoldAll() {
        SimulatedBudgetFleet fleet = fleet(1, 3, 2, 12, 0);
        for (SimulatedBudgetFleet.Gateway gateway : fleet.gateways) {
            gateway.demands.put(3L, 99);
            gateway.demands.put(7L, 99);
        }
        fleet.run(6000);
        fleet.gateways.get(0).demands.put(0L, 9);
        double start = fleet.nowMs;
        while (fleet.attemptsInFlight(0) < 2) {
            fleet.run(SimulatedBudgetFleet.STEP_MS);
            assertTrue(
                    fleet.nowMs - start <= INCREASE_TIME_MS,
                    "minimum share not reached after " + INCREASE_TIME_MS + " ms");
        }
    }

    @Test
    public void changingDemandDoesNotChangeGrants() {
        SimulatedBudgetFleet fleet = fleet(2, 3, 3, 10, 0.2);
        for (int round = 0; round < 20; round++) {
            fleet.gateways.get(0).demands.put(1L, 9);
            fleet.gateways.get(1).demands.put(2L, round % 2 == 0 ? 20 : 1);
            fleet.gateways.get(2).demands.put(3L, round % 2 == 0 ? 2 : 18);
            long before = fleet.gateways.get(0).ledger.acceptedGrants();
            fleet.run(700);
            assertTrue(
                    round < 5 || fleet.gateways.get(0).ledger.acceptedGrants() == before,
                    "grants still change in round " + round);
        }
    }

    @Test
    public void releasesTheGrantsOfADeadGatewayAfterLeaseSkewAndLinger() {
        SimulatedBudgetFleet fleet = fleet(3, 3, 2, 10, 0);
        fleet.gateways.get(0).demands.put(3L, 40);
        fleet.run(4000);
        assertEquals(fleet.granted(3), 20);
        SimulatedBudgetFleet.Gateway dead = fleet.gateways.get(0);
        dead.deadUntilMs = Double.MAX_VALUE;
        fleet.leader = 1;
        fleet.gateways.get(1).demands.put(7L, 40);
        double start = fleet.nowMs;
        double maxMs =
                SimulatedBudgetFleet.LEASE_MS
                        + 2 * SimulatedBudgetFleet.CLOCK_SKEW_MS
                        + SimulatedBudgetFleet.LINGER_MS
                        + INCREASE_TIME_MS;
        while (fleet.attemptsInFlight(7) < 18) {
            fleet.run(SimulatedBudgetFleet.STEP_MS);
            assertTrue(
                    fleet.nowMs - start <= maxMs,
                    "grants of the dead gateway not released after " + maxMs + " ms");
        }
        assertTrue(fleet.maxExcess <= 0);
    }

    @Test
    public void withoutAMajorityEachGatewayUsesItsStaticShare() {
        SimulatedBudgetFleet fleet = fleet(4, 4, 2, 13, 0.5);
        for (SimulatedBudgetFleet.Gateway gateway : fleet.gateways) {
            gateway.demands.put(1L, 20);
            gateway.demands.put(2L, 20);
        }
        fleet.run(4000);
        fleet.noMajorityUntilMs = Double.MAX_VALUE;
        fleet.run(SimulatedBudgetFleet.LEASE_MS + SimulatedBudgetFleet.LINGER_MS);
        Map<String, Integer> sums = new TreeMap<>();
        for (SimulatedBudgetFleet.Gateway gateway : fleet.gateways) {
            fleet.capacities
                    .keySet()
                    .forEach(
                            server ->
                                    sums.merge(
                                            server,
                                            gateway.budget.connectionLimit(
                                                    server, fleet.nowMs + gateway.clockOffsetMs),
                                            Integer::sum));
            assertTrue(
                    gateway.budget.attemptLimit(1, fleet.nowMs + gateway.clockOffsetMs) >= 1
                            && gateway.budget.attemptLimit(2, fleet.nowMs + gateway.clockOffsetMs)
                                    >= 1);
        }
        assertEquals(sums, Map.of("s0", 6, "s1", 6));
        int inUse = 0;
        for (int step = 0; step < 100; step++) {
            fleet.run(SimulatedBudgetFleet.STEP_MS);
            inUse += fleet.attemptsInFlight(1) + fleet.attemptsInFlight(2);
        }
        assertTrue(
                inUse > 1100, "static connections in use: " + inUse / 100.0 + " of 12 on average");
    }

    @Test
    public void dividesFewerConnectionsThanGatewaysAmongManyAccounts() {
        SimulatedBudgetFleet fleet = fleet(6, 5, 1, 3, 1);
        fleet.gateways.get(0).demands.put(9_999L, 5);
        for (int gateway = 0; gateway < 5; gateway++) {
            fleet.gateways.get(gateway).demands.put(1L + gateway * 2_000L, 5);
        }
        fleet.run(5000);
        assertTrue(fleet.maxExcess <= 0);
        assertEquals(
                fleet.gateways.stream()
                        .mapToInt(gateway -> gateway.budget.connectionLimit("s0", fleet.nowMs))
                        .sum(),
                3);
    }

    @Test
    public void anAccountOverAllGatewaysGetsNoMoreThanOneAtASingleGateway() {
        SimulatedBudgetFleet fleet = fleet(7, 4, 2, 10, 0);
        fleet.gateways.get(0).demands.put(3L, 40);
        fleet.gateways.forEach(gateway -> gateway.demands.put(7L, 40));
        fleet.run(6000);
        assertEquals(fleet.granted(3), 10);
        assertEquals(fleet.granted(7), 10);
        fleet.offerCapacity("s0", 4, 9);
        fleet.run(DECREASE_TIME_MS);
        assertEquals(fleet.granted(3) + fleet.granted(7), 14);
        assertTrue(
                fleet.openConnections("s0") <= 4,
                "connections beyond a reduced capacity are closed");
    }
}
