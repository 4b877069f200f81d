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

/** Drawn histories of connection budgets under faults. */
public class HistoriesTest {
    private static final LongFunction<GrantProposer.Plan> PLANS =
            a -> new GrantProposer.Plan(1 + (int) (a % 4), a % 3 == 0 ? 2 : 0, 60);

    /**
     * A drawn history; returns by how many connections an offer was exceeded at most (below 0: how
     * near).
     */
    private static int play(int seed, String broken) {
        return history(seed, broken).worst;
    }

    private static SimulatedBudgetFleet history(int seed, String broken) {
        Random random = new Random(seed * 31L);
        int size = 2 + random.nextInt(4);
        Map<String, Integer> offers = new LinkedHashMap<>();
        for (int s = 0; s < 1 + random.nextInt(3); s++) {
            offers.put("s" + s, 1 + random.nextInt(30));
        }
        double part = random.nextBoolean() ? 0.2 : 0;
        SimulatedBudgetFleet[] fleet = new SimulatedBudgetFleet[1];
        fleet[0] =
                new SimulatedBudgetFleet(
                        seed,
                        size,
                        offers,
                        part,
                        PLANS,
                        broken.isEmpty() ? null : s -> ledger(size, s, broken),
                        !broken.equals("own clock ignored")
                                ? null
                                : (ledger, incarnation, from) ->
                                        new LocalBudget(
                                                ledger,
                                                new StaticShares(offers, part, size),
                                                PLANS,
                                                incarnation,
                                                SimulatedBudgetFleet.LEASE,
                                                -1e12,
                                                SimulatedBudgetFleet.EVERY,
                                                SimulatedBudgetFleet.KEEP,
                                                from));
        SimulatedBudgetFleet f = fleet[0];
        f.faults = true;
        for (int k = 0; k < 12; k++) {
            for (SimulatedBudgetFleet.Gateway g : f.gateways) {
                g.wants.clear();
                for (long a = 0; a < 6; a++) {
                    if (random.nextInt(3) == 0) {
                        g.wants.put(a, random.nextInt(40));
                    }
                }
            }
            if (random.nextInt(4) == 0) {
                String s = "s" + random.nextInt(offers.size());
                f.offer(s, Math.max((int) (offers.get(s) * part) + 1, random.nextInt(30)), k + 1);
            }
            f.run(2500);
        }
        return f;
    }

    private static BudgetLedger ledger(int size, StaticShares staticShares, String broken) {
        return new BudgetLedger(SimulatedBudgetFleet.leases(size), staticShares) {
            @Override
            boolean fits(Incarnation incarnation, int server, int more) {
                return broken.equals("no check") || super.fits(incarnation, server, more);
            }

            @Override
            double free(Lease lease) {
                return broken.equals("no linger") ? leases().logTimeMs() : super.free(lease);
            }

            @Override
            boolean gone(Incarnation incarnation) {
                return switch (broken) {
                    case "no linger" -> super.gone(incarnation) || !leases().mayAct(incarnation);
                    case "a later incarnation frees the earlier's" ->
                            super.gone(incarnation)
                                    || leases().of(incarnation.gateway()).stream()
                                            .anyMatch(l -> l.start() > incarnation.start());
                    default -> super.gone(incarnation);
                };
            }
        };
    }

    @Test
    public void neverOverThroughDrawnFaults() {
        neverOver(0, 10);
    }

    @Test(groups = "long")
    public void neverOverThroughManyMoreDrawnFaults() {
        neverOver(10, 200);
    }

    private static void neverOver(int first, int end) {
        int atFull = 0;
        for (int seed = first; seed < end; seed++) {
            int over = play(seed, "");
            assertTrue(over <= 0, "history " + seed + ": " + over + " over");
            atFull += over == 0 ? 1 : 0;
        }
        assertTrue(atFull > 0, "none reaches the whole offer");
    }

    @Test
    public void aSnapshotAtAnyPointCarriesAllAndWhatCantBeReadChangesNothing() {
        SimulatedBudgetFleet f = history(3, "");
        BudgetLedger whole =
                new BudgetLedger(SimulatedBudgetFleet.leases(f.gateways.size()), f.staticShares);
        BudgetLedger cut =
                new BudgetLedger(SimulatedBudgetFleet.leases(f.gateways.size()), f.staticShares);
        Random random = new Random(9);
        for (int i = 0; i < f.log.size(); i++) {
            whole.apply(i + 1, f.log.get(i));
            cut.apply(i + 1, f.log.get(i));
            assertEquals(cut.snapshot(), whole.snapshot(), "entry " + i);
            if (random.nextInt(5) == 0) {
                BudgetLedger next =
                        new BudgetLedger(
                                SimulatedBudgetFleet.leases(f.gateways.size()), f.staticShares);
                next.restore(i + 1, cut.snapshot());
                cut = next;
            }
        }
        BudgetLedger bad =
                new BudgetLedger(SimulatedBudgetFleet.leases(f.gateways.size()), f.staticShares);
        bad.restore(f.log.size(), whole.snapshot());
        byte[] cells = cells(bad);
        long index = f.log.size();
        for (byte[] entry : f.log) {
            byte[] spoilt = java.util.Arrays.copyOf(entry, 2 + random.nextInt(3));
            bad.apply(++index, spoilt);
            spoilt[random.nextInt(2)] = 99;
            bad.apply(++index, spoilt);
        }
        assertEquals(cells(bad), cells, "spoilt entries");
        assertTrue(
                bad.unreadableEntries() > 0
                        && bad.unknownEntries() > 0
                        && bad.leases().rejectedEntries() > 0);
    }

    private static byte[] cells(BudgetLedger ledger) {
        StringBuilder all = new StringBuilder();
        ledger.table.holders.forEach(
                (l, h) ->
                        h.cells.forEach(
                                (s, c) ->
                                        all.append(l)
                                                .append(s)
                                                .append(' ')
                                                .append(c.granted)
                                                .append(c.may)));
        return all.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] broken() {
        return new Object[][] {
            {"no check"},
            {"no linger"},
            {"own clock ignored"},
            {"a later incarnation frees the earlier's"}
        };
    }

    @Test(dataProvider = "broken")
    public void aBrokenOneIsCaught(String broken) {
        for (int seed = 0; seed < 40; seed++) {
            if (play(seed, broken) > 0) {
                return;
            }
        }
        assertEquals(broken, "caught");
    }
}
