package tinford.fleet.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;

/** Random histories of connection budgets under faults. */
public class BudgetHistoriesTest {
    private static final LongFunction<GrantProposer.Plan> PLANS =
            a -> new GrantProposer.Plan(1 + (int) (a % 4), a % 3 == 0 ? 2 : 0, 60);

    /**
     * Plays a random history; returns by how many connections a capacity was exceeded at most
     * (below 0: how many were left).
     */
    private static int play(int seed, String defect) {
        return history(seed, defect).worstExcess;
    }

    private static SimulatedBudgetFleet history(int seed, String defect) {
        Random random = new Random(seed * 31L);
        int size = 2 + random.nextInt(4);
        Map<String, Integer> offers = new LinkedHashMap<>();
        for (int s = 0; s < 1 + random.nextInt(3); s++) {
            offers.put("s" + s, 1 + random.nextInt(30));
        }
        double part = random.nextBoolean() ? 0.2 : 0;
        SimulatedBudgetFleet fleet =
                new SimulatedBudgetFleet(
                        seed,
                        size,
                        offers,
                        part,
                        PLANS,
                        defect.isEmpty() ? null : s -> ledger(size, s, defect),
                        !defect.equals("own clock ignored")
                                ? null
                                : (ledger, incarnation, from) ->
                                        new LocalBudget(
                                                ledger,
                                                new StaticShares(offers, part, size),
                                                PLANS,
                                                incarnation,
                                                SimulatedBudgetFleet.LEASE_MS,
                                                -1e12,
                                                SimulatedBudgetFleet.INTERVAL_MS,
                                                SimulatedBudgetFleet.RETENTION_MS,
                                                from));
        fleet.faults = true;
        for (int k = 0; k < 12; k++) {
            for (SimulatedBudgetFleet.Gateway g : fleet.gateways) {
                g.demands.clear();
                for (long a = 0; a < 6; a++) {
                    if (random.nextInt(3) == 0) {
                        g.demands.put(a, random.nextInt(40));
                    }
                }
            }
            if (random.nextInt(4) == 0) {
                String s = "s" + random.nextInt(offers.size());
                fleet.offer(
                        s, Math.max((int) (offers.get(s) * part) + 1, random.nextInt(30)), k + 1);
            }
            fleet.run(2500);
        }
        return fleet;
    }

    private static BudgetLedger ledger(int size, StaticShares staticShares, String defect) {
        return new BudgetLedger(SimulatedBudgetFleet.leases(size), staticShares) {
            @Override
            boolean hasRoom(Incarnation incarnation, int server, int more) {
                return defect.equals("no check") || super.hasRoom(incarnation, server, more);
            }

            @Override
            double releaseMs(Lease lease) {
                return defect.equals("no linger") ? leases().logTimeMs() : super.releaseMs(lease);
            }

            @Override
            boolean isGone(Incarnation incarnation) {
                return switch (defect) {
                    case "no linger" -> super.isGone(incarnation) || !leases().mayAct(incarnation);
                    case "a later incarnation frees the earlier's" ->
                            super.isGone(incarnation)
                                    || leases().of(incarnation.gateway()).stream()
                                            .anyMatch(l -> l.start() > incarnation.start());
                    default -> super.isGone(incarnation);
                };
            }
        };
    }

    @Test
    public void neverExceedsACapacityOverRandomFaults() {
        checkCapacities(0, 10);
    }

    @Test(groups = "long")
    public void neverExceedsACapacityOverManyMoreRandomFaults() {
        checkCapacities(10, 200);
    }

    private static void checkCapacities(int first, int end) {
        int atFull = 0;
        for (int seed = first; seed < end; seed++) {
            int over = play(seed, "");
            assertTrue(over <= 0, "history " + seed + ": " + over + " over");
            atFull += over == 0 ? 1 : 0;
        }
        assertTrue(atFull > 0, "none reaches the whole offer");
    }

    @Test
    public void restoresASnapshotOfAnyPointAndIgnoresGarbage() {
        SimulatedBudgetFleet fleet = history(3, "");
        BudgetLedger continuous =
                new BudgetLedger(
                        SimulatedBudgetFleet.leases(fleet.gateways.size()), fleet.staticShares);
        BudgetLedger resumed =
                new BudgetLedger(
                        SimulatedBudgetFleet.leases(fleet.gateways.size()), fleet.staticShares);
        Random random = new Random(9);
        for (int i = 0; i < fleet.log.size(); i++) {
            continuous.apply(i + 1, fleet.log.get(i));
            resumed.apply(i + 1, fleet.log.get(i));
            assertEquals(resumed.snapshot(), continuous.snapshot(), "entry " + i);
            if (random.nextInt(5) == 0) {
                BudgetLedger next =
                        new BudgetLedger(
                                SimulatedBudgetFleet.leases(fleet.gateways.size()),
                                fleet.staticShares);
                next.restore(i + 1, resumed.snapshot());
                resumed = next;
            }
        }
        BudgetLedger restored =
                new BudgetLedger(
                        SimulatedBudgetFleet.leases(fleet.gateways.size()), fleet.staticShares);
        restored.restore(fleet.log.size(), continuous.snapshot());
        byte[] grants = grants(restored);
        long index = fleet.log.size();
        for (byte[] entry : fleet.log) {
            byte[] garbage = java.util.Arrays.copyOf(entry, 2 + random.nextInt(3));
            restored.apply(++index, garbage);
            garbage[random.nextInt(2)] = 99;
            restored.apply(++index, garbage);
        }
        assertEquals(grants(restored), grants, "garbage changed grants");
        assertTrue(
                restored.unreadableEntries() > 0
                        && restored.unknownEntries() > 0
                        && restored.leases().rejectedEntries() > 0);
    }

    private static byte[] grants(BudgetLedger ledger) {
        StringBuilder all = new StringBuilder();
        ledger.table.holders.forEach(
                (l, h) ->
                        h.serverGrants.forEach(
                                (s, c) ->
                                        all.append(l)
                                                .append(s)
                                                .append(' ')
                                                .append(c.granted)
                                                .append(c.maxHeld)));
        return all.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] defects() {
        return new Object[][] {
            {"no check"},
            {"no linger"},
            {"own clock ignored"},
            {"a later incarnation frees the earlier's"}
        };
    }

    @Test(dataProvider = "defects")
    public void detectsEachDeliberateDefect(String defect) {
        for (int seed = 0; seed < 40; seed++) {
            if (play(seed, defect) > 0) {
                return;
            }
        }
        assertEquals(defect, "caught");
    }
}
