package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.*;

/** Decisions of one gateway, driven by hand through its interface. */
public class DecisionEngineTest {
    private static final Plan HARD = DecisionFixture.plan(0, 1, 0, 0);
    private static final Plan SOFT = DecisionFixture.plan(0.2, 0, 0, 0);
    private static final RequestClass READ =
            DecisionFixture.frontend(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    /**
     * At 100 s a window of 30 s (six bursts of 10 units at 2 a second; 29 s at most) is 13 s old.
     */
    @DataProvider
    Object[][] estimates() {
        return new Object[][] {
            // total before, total now, units, passes
            {0, 1, 1, true},
            {0, 35, 1, true},
            {0, 36, 1, false}, // within it, but others may have spilt some of it
            {0, 37, 1, false}, // burst + rate x time
            {0, 11, 11, false}, // a first read opens one burst at most, however old the window
            {58, 5, 1, true},
            {120, 2, 1, false}, // the window before still overlaps by half
        };
    }

    @Test(dataProvider = "estimates")
    public void theEstimateDecides(double before, double total, double units, boolean passes) {
        DecisionFixture bed = new DecisionFixture();
        Request req = bed.req(DecisionFixture.customer(HARD), READ, units);
        List<String> said = bed.ask(req, before, total);
        assertEquals(DecisionFixture.count(said, passes ? "dispatch" : "deny"), 1, said.toString());
        boolean back =
                said.stream().anyMatch(s -> s.startsWith("add ") && s.endsWith(" -" + units));
        assertEquals(back, !passes, "a denial takes its units back");
    }

    @Test
    public void aCalmStretchSavesUpOneBurst() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(HARD);
        Request first = bed.req(c, READ, 1);
        bed.ask(first, 0, 1);
        bed.ends(first, 0, AttemptOutcome.SUCCESS, true);
        bed.pass(9000);
        int passed = 0;
        for (int i = 0; i < 20; i++) {
            Request req = bed.req(c, READ, 1);
            if (DecisionFixture.count(bed.ask(req, 0, 2 + passed), "dispatch") == 0) continue;
            bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            passed++;
        }
        assertEquals(passed, 10);
    }

    @DataProvider
    Object[][] postures() {
        return new Object[][] {
            // plan, end of the call, reqs of one unit passed out of 20; the slice of a hard plan
            // holds 5
            {SOFT, AttemptOutcome.TIMED_OUT, 20},
            {HARD, AttemptOutcome.TIMED_OUT, 5},
            {HARD, AttemptOutcome.UNREACHABLE, 5},
            {HARD, AttemptOutcome.OVERLOADED, 5},
        };
    }

    @Test(dataProvider = "postures")
    public void silenceIsAnsweredByThePosture(Plan plan, AttemptOutcome how, int passes) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(plan);
        int passed = 0;
        for (int i = 0; i < 20; i++) {
            Request req = bed.req(c, READ, 1);
            List<String> said = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
            said.addAll(bed.counterEnds(how));
            passed += DecisionFixture.count(said, "dispatch");
            if (DecisionFixture.count(said, "dispatch") > 0)
                bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
        }
        assertEquals(passed, passes);
    }

    @Test
    public void everyReqHasOneAnswerThoughTheCounterNeverSpeaks() {
        DecisionFixture bed = new DecisionFixture();
        Request req = bed.req(DecisionFixture.customer(HARD), READ, 1);
        bed.play(in -> in.requestArrived(req));
        assertEquals(DecisionFixture.count(bed.pass(500), "dispatch"), 1);
        Request late =
                new Request(99, READ, DecisionFixture.customer(HARD), bed.now + 20, 1, false);
        assertEquals(
                DecisionFixture.count(bed.play(in -> in.requestArrived(late)), "deny"),
                1,
                "its client leaves before an answer");
    }

    @Test
    public void aClientThatLeavesWhileTheCounterIsAskedGetsItsUnitsBack() {
        DecisionFixture bed = new DecisionFixture();
        Request req = bed.req(DecisionFixture.customer(HARD), READ, 3);
        List<String> asked = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
        bed.play(in -> in.clientDisconnected(req));
        List<String> said =
                bed.play(
                        in -> {
                            for (String s : asked) {
                                if (s.startsWith("add "))
                                    in.counterAnswered(
                                            Long.parseLong(s.split(" ")[1]),
                                            AttemptOutcome.SUCCESS,
                                            1,
                                            3);
                            }
                        });
        assertTrue(
                said.stream().anyMatch(s -> s.startsWith("add ") && s.endsWith(" -3.0")),
                said.toString());
        assertEquals(DecisionFixture.count(said, "dispatch"), 0);
    }

    @Test
    public void aClientThatLeavesBeforeTheWindowBeforeIsReadGetsItsUnitsBackOnce() {
        DecisionFixture bed = new DecisionFixture();
        Request req = bed.req(DecisionFixture.customer(HARD), READ, 3);
        List<String> reads = bed.answers(bed.play(in -> in.requestArrived(req)), 0, 33);
        assertEquals(DecisionFixture.count(reads, "add"), 1, "the window before is read");
        List<String> back = new ArrayList<>(bed.play(in -> in.clientDisconnected(req)));
        back.addAll(bed.answers(reads, 0, 33));
        assertEquals(DecisionFixture.count(back, "add"), 1, back.toString());
    }

    @Test
    public void aFlushedCounterHandsOutNoFreshWindow() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(HARD);
        for (int i = 0; i < 5; i++) bed.ask(bed.req(c, READ, 2), 0, 2 * i + 2);
        bed.pass(600);
        assertEquals(DecisionFixture.count(bed.ask(bed.req(c, READ, 3), 0, 3), "deny"), 1);
    }

    @DataProvider
    Object[][] repeats() {
        RequestClass once =
                DecisionFixture.frontend(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        RequestClass cell =
                DecisionFixture.frontend(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
        RequestClass zone =
                DecisionFixture.frontend(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
        RequestClass all =
                DecisionFixture.frontend(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL);
        return new Object[][] {
            // frontend, end of the first dispatch, what must come (at once or in the end)
            {READ, AttemptOutcome.UNREACHABLE, "dispatch"},
            {READ, AttemptOutcome.CONNECTION_LOST, "deny"},
            {READ, AttemptOutcome.TIMED_OUT, "deny"},
            {once, AttemptOutcome.OVERLOADED, "dispatch"},
            {once, AttemptOutcome.CONNECTION_LOST, "abort"},
            {once, AttemptOutcome.ERROR, "abort"},
            {cell, AttemptOutcome.UNREACHABLE, "dispatch"},
            {cell, AttemptOutcome.CONNECTION_LOST, "abort"},
            {zone, AttemptOutcome.ERROR, "abort"},
            {all, AttemptOutcome.CONNECTION_LOST, "deny"},
        };
    }

    @Test(dataProvider = "repeats")
    public void repeatsAndAnswersKeepToTheEffect(RequestClass f, AttemptOutcome how, String then) {
        DecisionFixture bed = new DecisionFixture();
        Request req = bed.req(DecisionFixture.customer(HARD), f, 1);
        bed.ask(req, 0, 1);
        List<String> said = bed.ends(req, 0, how, false);
        assertEquals(DecisionFixture.count(said, then), 1, said.toString());
        assertEquals(said.stream().filter(s -> s.matches("(dispatch|deny|abort).*")).count(), 1);
    }

    @DataProvider
    Object[][] stores() {
        // units that others added between two reads, time between these, units asked a second
        // after, whether they pass
        return new Object[][] {
            {0.0, 8000, 9.0, true},
            {8.0, 8000, 9.0, false},
            {8.0, 8000, 5.5, true},
            {14.0, 0, 1.0, true},
            {14.0, 0, 3.0, false},
        };
    }

    /**
     * What others used may have come last, out of a full store; what was sent on beyond the quota
     * leaves no debt.
     */
    @Test(dataProvider = "stores")
    public void theStoreIsNeitherFullAfterABurstElsewhereNorBelowNought(
            double rose, int ms, double units, boolean passes) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(HARD);
        Request first = bed.req(c, READ, 0.001);
        bed.ask(first, 0, 15);
        bed.ends(first, 0, AttemptOutcome.SUCCESS, true);
        bed.pass(ms);
        Request next = bed.req(c, READ, 0.001);
        if (DecisionFixture.count(bed.ask(next, 0, 15 + rose), "dispatch") > 0)
            bed.ends(next, 0, AttemptOutcome.SUCCESS, true);
        bed.pass(rose > 10 ? 1000 : 0);
        assertEquals(
                DecisionFixture.count(
                        bed.ask(bed.req(c, READ, units), 0, 15 + rose + units), "dispatch"),
                passes ? 1 : 0);
    }

    @DataProvider
    Object[][] lateTotals() {
        // total told late after four calls without an answer in time, reqs of one unit that pass of
        // 6 then
        return new Object[][] {{2.0, 6}, {20.0, 5}, {34.5, 1}, {36.7, 0}};
    }

    /**
     * A counter that answers late still tells what is left; a slice would pass what is long used
     * up.
     */
    @Test(dataProvider = "lateTotals")
    public void aTotalThatComesLateIsTrue(double total, int passes) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(HARD);
        List<String> asked = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            asked.addAll(bed.play(in -> in.requestArrived(bed.req(c, READ, 0.001))));
            bed.counterEnds(AttemptOutcome.TIMED_OUT);
            bed.pass(100);
        }
        bed.play(in -> in.counterAnsweredLate(Long.parseLong(asked.get(0).split(" ")[1]), total));
        long passed = 0;
        for (int i = 0; i < 6; i++) {
            Request req = bed.req(c, READ, 1);
            long sent = DecisionFixture.count(bed.play(in -> in.requestArrived(req)), "dispatch");
            if (sent > 0) bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            passed += sent;
        }
        assertEquals(passed, passes);
    }

    /**
     * With the budget full a dispatch that may have run goes on only inside the group, and only for
     * its window.
     */
    @Test
    public void aReqWithAKeyStaysInItsGroup() {
        DecisionFixture bed = new DecisionFixture();
        bed.list("s1a", "s1b", "s2");
        RequestClass cell =
                DecisionFixture.frontend(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(0, 1, 0, 0));
        int again = 0;
        for (int i = 0; i < 40; i++) {
            Request req = bed.req(c, cell, 0.1);
            String first =
                    bed.ask(req, 0, 0.1 * i).stream()
                            .filter(s -> s.startsWith("dispatch"))
                            .findFirst()
                            .get();
            List<String> said =
                    new ArrayList<>(
                            bed.ends(
                                    req,
                                    0,
                                    i < 20
                                            ? AttemptOutcome.SUCCESS
                                            : AttemptOutcome.CONNECTION_LOST,
                                    i < 20));
            for (String s : said) {
                if (!s.startsWith("dispatch")) continue;
                again++;
                assertEquals(bed.srv(s.split(" ")[2]).cell(), bed.srv(first.split(" ")[2]).cell());
                bed.ends(req, 1, AttemptOutcome.SUCCESS, true);
            }
            bed.pass(200);
        }
        assertTrue(again > 0);
    }

    /**
     * A repeat that waits for its connection is none any more once the window is over, whenever it
     * was decided on.
     */
    @Test
    public void aRepeatLeavesWithinTheWindowOfTheFirst() {
        DecisionFixture bed = new DecisionFixture();
        bed.list("s1a", "s1b");
        Tenant c = DecisionFixture.customer(HARD);
        for (int i = 0; i < 40; i++) { // they pay for those further ones
            Request first = bed.req(c, READ, 0.1);
            bed.ask(first, 0, 0.1 * i);
            assertTrue(bed.within > 3000, "what may be sent at any time");
            bed.ends(first, 0, AttemptOutcome.SUCCESS, true);
        }
        for (double after : new double[] {0, 700, 1100}) {
            Request req =
                    bed.req(
                            c,
                            DecisionFixture.frontend(
                                    Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
                            0.1);
            bed.ask(req, 0, 2);
            assertTrue(bed.within > 3000, "the first");
            bed.now += after;
            assertEquals(
                    DecisionFixture.count(
                            bed.ends(req, 0, AttemptOutcome.CONNECTION_LOST, false), "dispatch"),
                    1);
            assertEquals(bed.within, 3000 - 1 - after, 1e-6);
            bed.ends(req, 1, AttemptOutcome.SUCCESS, true);
        }
    }

    /**
     * It is seen to have gone before anybody has said so; what waits is told of that a moment
     * later.
     */
    @Test
    public void nothingIsSentForAClientThatHasGone() {
        for (boolean g : new boolean[] {true, false}) {
            DecisionFixture bed = new DecisionFixture();
            Request req =
                    new Request(7, READ, DecisionFixture.customer(HARD), bed.now + 8000, 1, false) {
                        @Override
                        public boolean clientGone() {
                            return g;
                        }
                    };
            List<String> said = bed.ask(req, 0, 1);
            assertEquals(DecisionFixture.count(said, "dispatch"), g ? 0 : 1);
            said.addAll(bed.play(in -> in.clientDisconnected(req)));
            assertEquals(
                    said.stream().anyMatch(s -> s.startsWith("add ") && s.endsWith(" -1.0")),
                    g,
                    said.toString());
        }
    }

    @DataProvider
    Object[][] states() {
        return new Object[][] {
            {Server.State.DRAINING, true}, {Server.State.REMOVED, true}, {Server.State.UP, false}
        };
    }

    @Test(dataProvider = "states")
    public void nothingNewGoesToAServerThatLeaves(Server.State state, boolean listed) {
        DecisionFixture bed = new DecisionFixture();
        bed.list("s1", "s2");
        bed.srv("s2").updateState(state);
        List<Server> entries =
                listed ? List.of(bed.srv("s1"), bed.srv("s2")) : List.of(bed.srv("s1"));
        bed.play(in -> in.endpointsUpdated(entries, true));
        for (int i = 1; i <= 10; i++) {
            for (String s : bed.ask(bed.req(DecisionFixture.customer(HARD), READ, 1), 0, 1)) {
                assertTrue(!s.endsWith(" s2"), s);
            }
        }
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{0.1, 0.1}, {0.1, 0.9}, {0.1, 2.0}};
    } // units of nine reqs in ten, of the tenth

    /**
     * In units, whatever the reqs' sizes: under 0.6 of a warm one's while it is cold, two thirds of
     * what that allows at least.
     */
    @Test(dataProvider = "sizes")
    public void aColdServerGetsItsShareAndNoMore(double small, double large) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0));
        List<Request> out = new ArrayList<>();
        double[] units = new double[2];
        for (int i = 0; i < 700; i++) {
            if (i == 500) {
                bed.srv("cold").updateStartTime(bed.now);
                bed.list("s1", "s2", "s3", "cold");
            }
            Request req = bed.req(c, READ, i % 10 == 0 ? large : small);
            List<String> said = new ArrayList<>(bed.ask(req, 0, 0.1));
            for (String s : said) {
                if (s.startsWith("dispatch") && i >= 500)
                    units[s.endsWith(" cold") ? 1 : 0] += req.units;
            }
            if (DecisionFixture.count(said, "dispatch") > 0) out.add(req);
            if (out.size() > 4) bed.ends(out.remove(0), 0, AttemptOutcome.SUCCESS, true);
            bed.pass(50);
        }
        double part = 3 * units[1] / units[0]; // 0.18 to 0.6 as it warms
        assertTrue(part > 0.26 && part < 0.6, "" + part);
    }

    @DataProvider
    Object[][] warmEnds() {
        return new Object[][] {
            {AttemptOutcome.SUCCESS, true},
            {AttemptOutcome.OVERLOADED, false},
            {AttemptOutcome.TIMED_OUT, false},
            {AttemptOutcome.CONNECTION_LOST, false}
        };
    }

    /** What warm servers are sent beyond what they do tells nothing of what a cold one can do. */
    @Test(dataProvider = "warmEnds")
    public void aColdServerEarnsByAnswersOfWarmOnes(AttemptOutcome how, boolean earns) {
        DecisionFixture bed = new DecisionFixture();
        bed.srv("cold").updateStartTime(bed.now);
        bed.list("s1", "s2", "s3", "cold");
        Tenant c = DecisionFixture.customer(new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0));
        long sent = 0, toCold = 0;
        for (int i = 0; i < 40; i++) {
            Request req = bed.req(c, READ, 0.1);
            List<String> said = new ArrayList<>(bed.ask(req, 0, 0.1));
            for (int no = 0; DecisionFixture.count(said, "dispatch") > 0; no++) {
                boolean cold =
                        said.stream()
                                .anyMatch(s -> s.startsWith("dispatch") && s.endsWith(" cold"));
                if (cold) toCold++;
                else sent++;
                said =
                        new ArrayList<>(
                                bed.ends(
                                        req,
                                        no,
                                        cold ? AttemptOutcome.NOT_SENT : how,
                                        how == AttemptOutcome.SUCCESS));
            }
            bed.play(in -> in.clientDisconnected(req));
            bed.pass(200);
        }
        assertTrue(sent >= 10, "" + sent);
        assertTrue(earns ? toCold > 1 : toCold == 0, toCold + " beside " + sent);
    }

    @Test
    public void whereNoneIsWarmWhatItsQuotaDeniesEarnsNothing() {
        DecisionFixture bed = new DecisionFixture();
        String[] ids = {"c1", "c2", "c3", "c4", "c5"};
        for (String id : ids) bed.srv(id).updateStartTime(bed.now);
        bed.list(ids);
        Tenant over = DecisionFixture.customer(HARD), within = new Tenant(6, HARD, 2, 0);
        for (int i = 0; i < 60; i++)
            assertEquals(DecisionFixture.count(bed.ask(bed.req(over, READ, 1), 0, 1e6), "deny"), 1);
        long sent = 0;
        for (int i = 1; i <= 5; i++)
            sent += DecisionFixture.count(bed.ask(bed.req(within, READ, 1), 0, i), "dispatch");
        assertTrue(sent < 3, sent + " of 5 at once");
    }

    /** Else all gateways that have earned one send it to the same server. */
    @Test
    public void coldServersAreTriedInAnyOrder() {
        DecisionFixture bed = new DecisionFixture();
        List<Server> cold = List.of(bed.srv("c1"), bed.srv("c2"), bed.srv("c3"), bed.srv("c4"));
        Tenant c = DecisionFixture.customer(new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0));
        Map<String, Integer> firsts = new HashMap<>();
        for (int round = 0; round < 12; round++) {
            List<Request> out = new ArrayList<>();
            for (Server s : cold) s.updateState(Server.State.DRAINING);
            bed.play(in -> in.endpointsUpdated(cold, false));
            for (int i = 0; i < 6; i++) {
                out.add(bed.req(c, READ, 1));
                assertEquals(DecisionFixture.count(bed.ask(out.get(i), 0, 1), "dispatch"), 1);
            }
            for (Server s : cold) {
                s.updateState(Server.State.UP);
                s.updateStartTime(bed.now - 8000);
            }
            bed.play(in -> in.endpointsUpdated(cold, false));
            for (Request r : out)
                bed.ends(r, 0, AttemptOutcome.SUCCESS, true); // each cold one earns a dispatch
            Request req = bed.req(c, READ, 1);
            for (String s : bed.ask(req, 0, 1)) {
                if (s.startsWith("dispatch"))
                    firsts.merge(s.substring(s.lastIndexOf(' ') + 1), 1, Integer::sum);
            }
            bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
        }
        assertEquals(firsts.values().stream().mapToInt(n -> n).sum(), 12, firsts.toString());
        assertTrue(
                firsts.size() > 2 && firsts.keySet().stream().allMatch(s -> s.startsWith("c")),
                firsts.toString());
    }

    @Test
    public void theCeilingHoldsWithoutTheCounterAndARestartRefillsNothing() {
        DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), false, false);
        bed.list("s1", "s2", "s3");
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(0.2, 0, 0, 4));
        long passed = 0;
        for (int i = 0; i < 100; i++) {
            Request req = bed.req(c, READ, 1);
            List<String> said = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
            said.addAll(bed.pass(50));
            for (String s : said) {
                if (!s.startsWith("dispatch")) continue;
                passed++;
            }
        }
        assertTrue(
                passed > 0 && passed <= 10,
                "slice of 2 units a second, from empty, in 5 s: " + passed);
    }

    /**
     * A long answer that its client reads slowly is no trouble of its server, and its req has its
     * final answer.
     */
    @Test
    public void whatFlowsIsAnswered() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(0, 1, 0, 0));
        List<Request> flowing = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Request req = bed.req(c, READ, 1);
            if (DecisionFixture.count(bed.ask(req, 0, 1), "dispatch") == 0) continue;
            flowing.add(req);
            bed.now += 50;
            bed.play(in -> in.responseStarted(req, 0));
        }
        assertEquals(flowing.size(), 5);
        assertEquals(
                DecisionFixture.count(bed.pass(20_000), "d"),
                0); // neither dispatched again nor denied
        for (int i = 0; i < 40; i++) { // as many as ever have room beside them
            Request req = bed.req(c, READ, 1);
            assertEquals(DecisionFixture.count(bed.ask(req, 0, 1), "dispatch"), 1, "req " + i);
            bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
        }
        for (Request req : flowing)
            assertEquals(bed.ends(req, 0, AttemptOutcome.CONNECTION_LOST, true), List.of());
    }

    @DataProvider
    public Object[][] handovers() {
        // how long the first process took reqs alone, how long the other has been up by then
        return new Object[][] {{0, 0}, {2000, 1000}, {6000, 3000}, {20_000, 6000}};
    }

    /**
     * Two processes of one gateway draw on a ceiling at once: never more than one of them could,
     * whoever is asked.
     */
    @Test(dataProvider = "handovers")
    public void aCeilingHandedOverIsDrawnOnOnce(double alone, double beside) {
        Plan plan =
                new Plan(
                        "p", 0, 0, 0, 1, 1, 0, 0.004, 20,
                        1); // a slice of 2 units a second, 10 at most
        Tenant c = DecisionFixture.customer(plan);
        DecisionFixture old = new DecisionFixture();
        old.pass(alone);
        DecisionFixture next = new DecisionFixture();
        next.now = old.now;
        next.pass(beside);
        old.pass(beside);
        old.play(in -> in.drainingStarted());
        next.play(in -> in.takeoverStarted());
        double most = Math.min(10, (alone + beside) * 0.002), passed = 0;
        for (int i = 0; i <= 8; i++) {
            for (DecisionFixture bed : new DecisionFixture[] {old, next}) {
                for (int k = 0; k < (i % 4 == 0 ? 12 : 1); k++) {
                    Request req = bed.req(c, READ, 1);
                    List<String> said = bed.play(in -> in.requestArrived(req));
                    passed += DecisionFixture.count(said, "dispatch");
                    if (DecisionFixture.count(said, "dispatch") > 0)
                        bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
                }
            }
            assertTrue(
                    passed <= most + i * 0.5 + 1e-6,
                    passed + " after " + i * 250 + " ms, from " + most);
            passed +=
                    DecisionFixture.count(old.pass(250), "dispatch")
                            + DecisionFixture.count(next.pass(250), "dispatch");
        }
        assertTrue(passed >= 2, "the other one fills: " + passed);
    }

    @Test
    public void theCapOnOpenReqsHolds() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(0, 1, 2, 0));
        long passed = 0;
        for (int i = 1; i <= 6; i++)
            passed += DecisionFixture.count(bed.ask(bed.req(c, READ, 1), 0, i), "dispatch");
        assertTrue(passed >= 1 && passed <= 2, "" + passed);
    }

    @Test
    public void allSlowIsNobodysFault() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(1, 0, 0, 0));
        long passed = 0;
        for (int i = 0; i < 40; i++) {
            Request req = bed.req(c, READ, 0.1);
            if (DecisionFixture.count(bed.ask(req, 0, 0.1), "dispatch") > 0) {
                passed++;
                bed.play(
                        in ->
                                in.attemptEnded(
                                        req, 0, AttemptOutcome.SUCCESS, 2500, true, 0, 0, null));
            }
            bed.pass(100);
        }
        assertEquals(passed, 40);
    }

    /** What fails at once is free again at once: it must not draw what the others then lack. */
    @Test
    public void aServerThatFailsAtOnceIsAskedEverMoreRarely() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(DecisionFixture.plan(1, 0, 0, 0));
        List<Request> out = new ArrayList<>();
        long failed = 0;
        for (int i = 0; i < 400; i++) {
            Request req = bed.req(c, READ, 0.1);
            for (String s : bed.ask(req, 0, 0.1)) {
                if (!s.startsWith("dispatch")) continue;
                if (s.endsWith(" s2")) {
                    failed++;
                    bed.play(
                            in ->
                                    in.attemptEnded(
                                            req, 0, AttemptOutcome.ERROR, 2, false, 0, 0, null));
                } else {
                    out.add(req);
                }
            }
            if (out.size() > 3) {
                Request done = out.remove(0);
                bed.play(
                        in ->
                                in.attemptEnded(
                                        done, 0, AttemptOutcome.SUCCESS, 200, true, 0, 0, null));
            }
            bed.pass(50);
        }
        assertTrue(failed >= 2 && failed <= 6, "" + failed); // it is looked at still
    }

    @DataProvider
    Object[][] speeds() {
        return new Object[][] {
            {200, 120}, {1400, 12}
        }; // its first server's answers take, reqs there of 120 at most
    }

    /**
     * A gateway of little traffic keeps to few servers while they are as good as any, and to none
     * that is not.
     */
    @Test(dataProvider = "speeds")
    public void fewReqsKeepToFewServers(double took, int most) {
        DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), true, false, 14);
        bed.list(IntStream.range(0, 60).mapToObj(i -> "s" + i).toArray(String[]::new));
        List<String> met = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            Request req =
                    bed.req(DecisionFixture.customer(DecisionFixture.plan(1, 0, 0, 0)), READ, 0.1);
            met.add(
                    bed.ask(req, 0, 0.1).stream()
                            .filter(s -> s.startsWith("dispatch"))
                            .findFirst()
                            .orElseThrow()
                            .split(" ")[2]);
            double time = met.get(i).equals(met.get(0)) ? took : 200;
            bed.pass(250);
            bed.play(in -> in.attemptEnded(req, 0, AttemptOutcome.SUCCESS, time, true, 0, 0, null));
        }
        long first = met.stream().filter(met.get(0)::equals).count(),
                kinds = met.stream().distinct().count();
        assertTrue(first <= most && kinds <= 6, kinds + " servers: " + met);
    }

    /**
     * Large reqs take long anywhere: a server that happened to get some is no slower than the
     * others.
     */
    @Test
    public void whoGetsLargeReqsIsNotLeftForIt() {
        DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), true, false, 14);
        bed.list(IntStream.range(0, 60).mapToObj(i -> "s" + i).toArray(String[]::new));
        Tenant c = DecisionFixture.customer(new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0));
        List<String> met = new ArrayList<>();
        for (int i = 0; i < 240; i++) {
            Request req = bed.req(c, READ, i % 10 == 0 ? 6 : 1);
            met.add(
                    bed.ask(req, 0, 0.1).stream()
                            .filter(s -> s.startsWith("dispatch"))
                            .findFirst()
                            .orElseThrow()
                            .split(" ")[2]);
            double took = 200 * req.units;
            bed.pass(50);
            bed.play(in -> in.attemptEnded(req, 0, AttemptOutcome.SUCCESS, took, true, 0, 0, null));
        }
        long kinds = met.subList(60, 240).stream().distinct().count();
        assertEquals(kinds, 1, met.toString());
    }

    @DataProvider
    Object[][] hurries() {
        return new Object[][] {{1, 900, "dispatch"}, {6, 900, "deny"}, {6, 1900, "dispatch"}};
    }

    /**
     * What a req will take goes by its units: one that can't be answered in time is denied at once,
     * one that can is not.
     */
    @Test(dataProvider = "hurries")
    public void aReqIsGivenTheTimeOfItsSize(double units, double left, String then) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(new Plan("p", 1, 1000, 0, 1, 1, 0, 0, 0, 0));
        for (int i = 0; i < 200; i++) {
            Request req = bed.req(c, READ, 1 + i % 6);
            if (DecisionFixture.count(bed.ask(req, 0, 0.1), "dispatch") == 0) continue;
            double took = 200 * req.units;
            bed.pass(50);
            bed.play(in -> in.attemptEnded(req, 0, AttemptOutcome.SUCCESS, took, true, 0, 0, null));
        }
        Request hurried = new Request(9999, READ, c, bed.now + left, units, false);
        assertEquals(DecisionFixture.count(bed.ask(hurried, 0, 0.1), then), 1);
    }

    @DataProvider
    Object[][] breaks() {
        return new Object[][] {{100, false}, {8, true}};
    }

    /** Kept connections that break under the next req are renewed while more than a few do. */
    @Test(dataProvider = "breaks")
    public void keptConnectionsAreRenewedWhileManyBreak(int oneIn, boolean renewed) {
        DecisionFixture bed = new DecisionFixture();
        long closed = 0;
        for (int i = 1; i <= 120; i++) {
            Request req =
                    bed.req(DecisionFixture.customer(DecisionFixture.plan(1, 0, 0, 0)), READ, 0.1);
            bed.ask(req, 0, 0.1);
            bed.ends(
                    req,
                    0,
                    i % oneIn == 0 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SUCCESS,
                    true);
            closed += DecisionFixture.count(bed.pass(50), "close");
        }
        assertEquals(closed > 0, renewed, "" + closed);
    }

    @DataProvider
    Object[][] noTotals() {
        return new Object[][] {{AttemptOutcome.TIMED_OUT, 0}, {AttemptOutcome.CONNECTION_LOST, 1}};
    }

    /** Answers that can't be read are no silence: the counter is still asked. */
    @Test(dataProvider = "noTotals")
    public void aSpoiltTotalIsNoSilence(AttemptOutcome how, int calls) {
        DecisionFixture bed = new DecisionFixture();
        for (int i = 0; i < 5; i++) {
            Request req = bed.req(new Tenant(i, HARD, 2, 0), READ, 1);
            bed.play(in -> in.requestArrived(req));
            bed.counterEnds(how);
        }
        assertEquals(
                DecisionFixture.count(
                        bed.play(
                                in ->
                                        in.requestArrived(
                                                bed.req(new Tenant(9, HARD, 2, 0), READ, 1))),
                        "add "),
                calls);
    }

    @DataProvider
    Object[][] lastTotals() {
        return new Object[][] {
            // gateways, counted by all, how long ago, units asked one by one with no call answered:
            // how many pass of a slice of five
            {2, 0, 100, 12, 10},
            {2, 0, 6000, 12, 5},
            {2, 36, 100, 12, 0},
            {2, 36, 2400, 12, 2},
            {5, 0, 100, 12, 2},
        };
    }

    /**
     * A counter that misses calls has spoken lately: its last total tells more than an even slice.
     */
    @Test(dataProvider = "lastTotals")
    public void theLastTotalHoldsForABurst(
            int width, double total, double ago, int asked, int passes) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = new Tenant(5, HARD, width, 0);
        Request first = bed.req(c, READ, 0.1);
        if (DecisionFixture.count(bed.ask(first, 0, total + 0.1), "dispatch") > 0)
            bed.ends(first, 0, AttemptOutcome.SUCCESS, true);
        bed.now += ago;
        long passed = 0;
        for (int i = 0; i < asked; i++) {
            Request req = bed.req(c, READ, 1);
            List<String> said = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
            said.addAll(bed.counterEnds(AttemptOutcome.TIMED_OUT));
            if (DecisionFixture.count(said, "dispatch") == 0) continue;
            passed++;
            bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
        }
        assertEquals(passed, passes);
    }

    /** Half of the calls find no answer: fewer are made, and no unit is lost by that. */
    @Test
    public void callsToAShortCounterArePaced() {
        DecisionFixture bed = new DecisionFixture();
        double asked = 0, added = 0;
        long calls = 0;
        Random chance = new Random(1);
        for (int i = 0; i < 400; i++) {
            Request req =
                    bed.req(new Tenant(i < 4 ? i : chance.nextInt(4), SOFT, 2, 0), READ, 0.01);
            List<String> said = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
            boolean answered = i < 4 || i % 3 == 0;
            for (List<String> now = said; DecisionFixture.count(now, "add ") > 0; ) {
                for (String s : now) {
                    if (!s.startsWith("add ")) continue;
                    added += Double.parseDouble(s.split(" ")[2]);
                    calls += i >= 200 ? 1 : 0;
                }
                now =
                        new ArrayList<>(
                                answered
                                        ? bed.answers(now, 0, added)
                                        : bed.counterEnds(AttemptOutcome.TIMED_OUT));
                said.addAll(now);
            }
            asked += 0.01;
            if (DecisionFixture.count(said, "dispatch") > 0)
                bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            bed.pass(10);
        }
        assertTrue(calls >= 4 && calls < 120, "" + calls);
        assertTrue(Math.abs(asked - added) < 1.2, asked + " and " + added);
    }

    /**
     * A counter that takes a call each 20 ms and answers all that come: its line is kept short of
     * what is waited for.
     */
    @Test
    public void theLineAtAShortCounterIsKeptShort() {
        DecisionFixture bed = new DecisionFixture();
        Map<Long, Request> reqs = new HashMap<>();
        List<double[]> line = new ArrayList<>(); // name, made at, answered at
        double idle = 0;
        long made = 0, missed = 0;
        for (int i = 0; i < 20_000; i++, bed.now++) {
            List<String> said = i % 50 == 0 ? bed.pass(0.001) : new ArrayList<>();
            if (i % 5 == 0) {
                Request req = bed.req(new Tenant(i % 2000, HARD, 2, 0), READ, 0.01);
                reqs.put(req.id, req);
                said.addAll(bed.play(in -> in.requestArrived(req)));
            }
            for (double[] call : List.copyOf(line)) {
                boolean late = bed.now - call[1] >= 50;
                if (!late && bed.now < call[2]) continue;
                line.remove(call);
                missed += late && i > 10_000 ? 1 : 0;
                said.addAll(
                        bed.play(
                                in ->
                                        in.counterAnswered(
                                                (long) call[0],
                                                late
                                                        ? AttemptOutcome.TIMED_OUT
                                                        : AttemptOutcome.SUCCESS,
                                                bed.now - call[1],
                                                0.01)));
            }
            for (String s : said) {
                String[] w = s.split(" ");
                if (w[0].equals("dispatch"))
                    bed.ends(reqs.get(Long.parseLong(w[1])), 0, AttemptOutcome.SUCCESS, true);
                if (!w[0].equals("add")) continue;
                idle = Math.max(idle, bed.now) + 20;
                line.add(new double[] {Long.parseLong(w[1]), bed.now, idle});
                made += i > 10_000 ? 1 : 0;
            }
        }
        assertTrue(made > 300 && missed < 0.15 * made, missed + " of " + made + " calls missed");
    }

    /**
     * Where calls are short they go to those whom an answer can deny: what a soft plan asks passes
     * with it or without.
     */
    @Test
    public void shortCallsGoToPlansWhoseExcessCosts() {
        DecisionFixture bed = new DecisionFixture();
        long[] calls = new long[2];
        double taken = 0; // the counter takes a call each 20 ms, a req comes each 5
        for (int i = 0; i < 800; i++) {
            int soft = i % 2;
            Request req = bed.req(new Tenant(i % 40, soft == 1 ? SOFT : HARD, 10, 0), READ, 0.01);
            List<String> said = new ArrayList<>(bed.play(in -> in.requestArrived(req)));
            boolean answered = bed.now - taken >= 20;
            if (DecisionFixture.count(said, "add ") > 0) {
                if (answered) taken = bed.now;
                calls[soft] += i >= 200 ? 1 : 0;
            }
            for (List<String> now = said;
                    DecisionFixture.count(now, "add ") > 0;
                    said.addAll(now)) {
                now =
                        new ArrayList<>(
                                answered
                                        ? bed.answers(now, 0, 1)
                                        : bed.counterEnds(AttemptOutcome.TIMED_OUT));
            }
            if (DecisionFixture.count(said, "dispatch") > 0)
                bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            bed.pass(5);
        }
        assertTrue(calls[0] > 3 * calls[1], calls[0] + " hard, " + calls[1] + " soft");
    }

    @DataProvider
    Object[][] windowsBefore() {
        return new Object[][] {
            // calls without an answer before, total read 13 s into a window that holds 68 units,
            // calls for the window before
            {0, 5.0, 1}, {1, 5.0, 0}, {1, 29.0, 0}, {1, 32.0, 1},
        };
    }

    /**
     * A short counter is asked for the window before once what that may hold could change the
     * answer, not before.
     */
    @Test(dataProvider = "windowsBefore")
    public void theWindowBeforeIsReadWhereItCanMatter(int missed, double total, int reads) {
        DecisionFixture bed = new DecisionFixture();
        for (int i = 0; i < missed; i++) {
            bed.play(in -> in.requestArrived(bed.req(new Tenant(7, HARD, 2, 0), READ, 1)));
            bed.counterEnds(AttemptOutcome.TIMED_OUT);
        }
        bed.pass(50);
        List<String> said = bed.ask(bed.req(DecisionFixture.customer(HARD), READ, 0.1), 0, total);
        assertEquals(
                said.stream().filter(s -> s.matches("add .* 0.0")).count(), reads, said.toString());
        assertEquals(DecisionFixture.count(said, "dispatch"), 1, said.toString());
    }

    @Test
    public void trueUnitsAreSettledOnce() {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = DecisionFixture.customer(HARD);
        Request req = bed.req(c, READ, 2);
        bed.ask(req, 0, 2);
        bed.play(in -> in.attemptEnded(req, 0, AttemptOutcome.SUCCESS, 100, true, 0, 5, null));
        assertTrue(
                bed.play(in -> in.requestArrived(bed.req(c, READ, 1))).stream()
                        .anyMatch(s -> s.endsWith(" 4.0")));
        assertTrue(
                bed.play(in -> in.requestArrived(bed.req(c, READ, 1))).stream()
                        .anyMatch(s -> s.endsWith(" 1.0")));
    }

    @Test
    public void aBrokenSubscriptionIsAskedForAgain() {
        DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), true, true);
        assertEquals(DecisionFixture.count(bed.said, "watch true"), 1);
        assertEquals(DecisionFixture.count(bed.play(GatewayEvents::discoveryFailed), "alarm"), 1);
        assertEquals(DecisionFixture.count(bed.play(in -> in.timerFired(2)), "watch true"), 1);
    }

    @DataProvider
    Object[][] caps() {
        return new Object[][] {{0.0, 2500.0}, {0.2, 0.0}};
    }

    /**
     * A req that hangs is given up once its answer earns nothing, and its client told when to come
     * back.
     */
    @Test(dataProvider = "caps")
    public void whatEarnsNothingMoreIsGivenUp(double lateValue, double cap) {
        DecisionFixture bed = new DecisionFixture();
        RequestClass f =
                new RequestClass(
                        "f",
                        2000,
                        8000,
                        1,
                        lateValue,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        3000,
                        false);
        Request req = bed.req(DecisionFixture.customer(HARD), f, 1);
        bed.ask(req, 0, 1);
        assertEquals(bed.cap, cap);
        bed.now += 2500;
        assertEquals(
                bed.ends(req, 0, AttemptOutcome.TIMED_OUT, false),
                List.of("deny " + req.id + " 2000"));
    }

    @DataProvider
    Object[][] widths() {
        return new Object[][] {
            // gateways of the customer, reqs of one unit that pass of 6 at once while the counter
            // is silent
            {2, 5}, {10, 1}, {100, 1},
        };
    }

    @Test(dataProvider = "widths")
    public void aSliceSmallerThanAReqHoldsOne(int width, int passes) {
        DecisionFixture bed = new DecisionFixture();
        Tenant c = new Tenant(5, HARD, width, 0);
        long passed = 0;
        for (int i = 0; i < 6; i++) {
            List<String> said =
                    new ArrayList<>(bed.play(in -> in.requestArrived(bed.req(c, READ, 1))));
            said.addAll(bed.counterEnds(AttemptOutcome.TIMED_OUT));
            passed += DecisionFixture.count(said, "dispatch");
        }
        assertEquals(passed, passes);
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{2, 6, 30}, {100, 1, 2}, {330, 1, 2}};
    }

    /** Three servers take five each over all gateways, or one slot a gateway where that is less. */
    @Test(dataProvider = "fleets")
    public void manyGatewaysDoNotOverdriveFewServers(int gateways, int least, int most) {
        DecisionFixture bed =
                new DecisionFixture(DecisionFixture.limits(false), false, false, gateways);
        bed.list("s1", "s2", "s3");
        bed.pass(250);
        long out = 0;
        for (int i = 0; i < 40; i++) {
            out +=
                    DecisionFixture.count(
                            bed.play(
                                    in ->
                                            in.requestArrived(
                                                    bed.req(
                                                            DecisionFixture.customer(SOFT),
                                                            READ,
                                                            0.1))),
                            "dispatch");
        }
        assertTrue(out >= least && out <= most, gateways + " gateways: " + out);
    }

    @Test
    public void whatIsKeptStaysBounded() {
        DecisionFixture bed = new DecisionFixture();
        for (int i = 0; i < 2000; i++) {
            Request req = bed.req(new Tenant(i, HARD, 2, 0), READ, 1);
            bed.ask(req, 0, 1);
            bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            if (i % 20 == 0) bed.list("s1", "new" + i);
            bed.pass(200);
        }
        assertTrue(bed.kept() < 500, "" + bed.kept());
    }
}
