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

/** Connection budgets in random histories with faults. */
public class BudgetHistoriesTest {
    private static final LongFunction<GrantProposer.Plan> PLANS =
            a -> new GrantProposer.Plan(1 + (int) (a % 4), a % 3 == 0 ? 2 : 0, 60);

    /**
     * Runs a random history; returns the highest number of connections by which a capacity was
     * exceeded, or, negative, the lowest number that was free.
     */
    private static int maxExcess(int seed, String defect) {
        return runHistory(seed, defect).maxExcess;
    }

    private static SimulatedBudgetFleet runHistory(int seed, String defect) {
        Random random = new Random(seed * 31L);
        int size = 2 + random.nextInt(4);
        Map<String, Integer> capacities = new LinkedHashMap<>();
        for (int server = 0; server < 1 + random.nextInt(3); server++) {
            capacities.put("s" + server, 1 + random.nextInt(30));
        }
        double staticPart = random.nextBoolean() ? 0.2 : 0;
        SimulatedBudgetFleet fleet =
                new SimulatedBudgetFleet(
                        seed,
                        size,
                        capacities,
                        staticPart,
                        PLANS,
                        defect.isEmpty()
                                ? null
                                : staticShares -> ledger(size, staticShares, defect),
                        !defect.equals("own clock ignored")
                                ? null
                                : (ledger, incarnation, staticFromMs) ->
                                        new LocalBudget(
                                                ledger,
                                                new StaticShares(capacities, staticPart, size),
                                                PLANS,
                                                incarnation,
                                                SimulatedBudgetFleet.LEASE_MS,
                                                -1e12,
                                                SimulatedBudgetFleet.INTERVAL_MS,
                                                SimulatedBudgetFleet.RETENTION_MS,
                                                staticFromMs));
        fleet.injectsFaults = true;
        for (int round = 0; round < 12; round++) {
            for (SimulatedBudgetFleet.Gateway gateway : fleet.gateways) {
                gateway.demands.clear();
                for (long account = 0; account < 6; account++) {
                    if (random.nextInt(3) == 0) {
                        gateway.demands.put(account, random.nextInt(40));
                    }
                }
            }
            if (random.nextInt(4) == 0) {
                String server = "s" + random.nextInt(capacities.size());
                fleet.offerCapacity(
                        server,
                        Math.max(
                                (int) (capacities.get(server) * staticPart) + 1,
                                random.nextInt(30)),
                        round + 1);
            }
            fleet.run(2500);
        }
        return fleet;
    }

    private static BudgetLedger ledger(int size, StaticShares staticShares, String defect) {
        return new BudgetLedger(SimulatedBudgetFleet.leases(size), staticShares) {
            @Override
            boolean hasCapacity(Incarnation incarnation, int server, int more) {
                return defect.equals("capacity not checked")
                        || super.hasCapacity(incarnation, server, more);
            }

            @Override
            double releaseMs(Lease lease) {
                return defect.equals("linger time ignored")
                        ? leases().logTimeMs()
                        : super.releaseMs(lease);
            }

            @Override
            boolean isReleased(Incarnation incarnation) {
                return switch (defect) {
                    case "linger time ignored" ->
                            super.isReleased(incarnation) || !leases().mayAct(incarnation);
                    case "grants of an earlier incarnation released by a later one" ->
                            super.isReleased(incarnation)
                                    || leases().of(incarnation.gateway()).stream()
                                            .anyMatch(other -> other.start() > incarnation.start());
                    default -> super.isReleased(incarnation);
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

    private static void checkCapacities(int firstSeed, int endSeed) {
        int historiesAtCapacity = 0;
        for (int seed = firstSeed; seed < endSeed; seed++) {
            int excess = maxExcess(seed, "");
            assertTrue(excess <= 0, "history " + seed + ": capacity exceeded by " + excess);
            historiesAtCapacity += excess == 0 ? 1 : 0;
        }
        assertTrue(historiesAtCapacity > 0, "in no history is a whole capacity in use");
    }

    @Test
    public void restoresASnapshotOfAnyPointAndIgnoresMalformedEntries() {
        SimulatedBudgetFleet fleet = runHistory(3, "");
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
            byte[] malformed = java.util.Arrays.copyOf(entry, 2 + random.nextInt(3));
            restored.apply(++index, malformed);
            malformed[random.nextInt(2)] = 99;
            restored.apply(++index, malformed);
        }
        assertEquals(grants(restored), grants, "malformed entries changed grants");
        assertTrue(
                restored.unreadableEntries() > 0
                        && restored.unknownEntries() > 0
                        && restored.leases().rejectedEntries() > 0);
    }

    private static byte[] grants(BudgetLedger ledger) {
        StringBuilder text = new StringBuilder();
        ledger.table.holders.forEach(
                (incarnation, holder) ->
                        holder.serverGrants.forEach(
                                (server, grant) ->
                                        text.append(incarnation)
                                                .append(server)
                                                .append(' ')
                                                .append(grant.granted)
                                                .append(grant.maxHeld)));
        return text.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] defects() {
        return new Object[][] {
            {"capacity not checked"},
            {"linger time ignored"},
            {"own clock ignored"},
            {"grants of an earlier incarnation released by a later one"}
        };
    }

    @Test(dataProvider = "defects")
    public void detectsEachDeliberateDefect(String defect) {
        for (int seed = 0; seed < 40; seed++) {
            if (maxExcess(seed, defect) > 0) {
                return;
            }
        }
        assertEquals(defect, "detected");
    }
}
