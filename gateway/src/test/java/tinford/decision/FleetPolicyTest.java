package tinford.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.*;

/** What a fleet has settled binds the decisions, and they tell it what it needs to settle more. */
public class FleetPolicyTest {
    private static final RequestClass READ =
            DecisionFixture.frontend(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final Plan FREE = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);

    /** A view that bounds one thing, and notes what it is told. */
    private static final class Bound extends FleetPolicy {
        final String what;
        final List<String> told = new ArrayList<>();

        Bound(String what) {
            this.what = what;
        }

        @Override
        public double admittedShare(double worth) {
            return what.equals("part") ? 0 : 1;
        }

        @Override
        public double retryAllowance(double own) {
            return what.equals("further") ? 0 : own;
        }

        @Override
        public boolean ownsProbing(Server srv) {
            return !what.equals("looksAfter");
        }

        @Override
        public int connectionLimit(Server srv) {
            return what.equals("hold") ? 0 : 9;
        }

        @Override
        public int tenantAttemptLimit(Tenant c) {
            return what.equals("use") ? 0 : 9;
        }

        @Override
        public boolean allowsServer(Request req, Server srv, Server first) {
            told.add("go " + (first == null ? "-" : first.id));
            return !what.equals("go") && (!what.equals("first") || first == null || first == srv);
        }

        @Override
        public boolean isRoutable(Request req) {
            return !what.equals("goes");
        }

        @Override
        public double retryAfterJitterMs() {
            return what.equals("part") ? 400 : 0;
        }

        @Override
        public void requestOffered(Request req, double worth) {
            told.add("asked");
        }

        @Override
        public void attemptSent(Request req, Server srv, double worth, boolean further) {
            told.add(further ? "again" : "sent");
        }

        @Override
        public void attemptEnded(Request req, Server srv, AttemptOutcome how, boolean late) {
            told.add("ended " + how);
        }

        @Override
        public void requestBlocked(Request req) {
            told.add("lacked");
        }

        @Override
        public void serverHealthChanged(Server srv, boolean ill) {
            told.add(ill ? "ill" : "well");
        }
    }

    private static DecisionFixture bed(FleetPolicy view) {
        DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), false, false);
        bed.list("s1", "s2", "s3");
        bed.play(in -> in.fleetPolicyChanged(view));
        return bed;
    }

    private static Request one(DecisionFixture bed) {
        Request req = bed.req(DecisionFixture.customer(FREE), READ, 1);
        bed.play(in -> in.requestArrived(req));
        return req;
    }

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {
            {"nothing", "dispatch", "sent"}, {"part", "deny", "asked"}, {"goes", "deny", "asked"},
            {"hold", "", "lacked"}, {"use", "", "lacked"}, {"go", "", "go -"},
        };
    }

    /**
     * What is shed, or may go nowhere, is answered at once; what lacks a connection waits while its
     * target is in reach.
     */
    @Test(dataProvider = "bounds")
    public void aFirstDispatchIsBound(String what, String said, String told) {
        Bound view = new Bound(what);
        DecisionFixture bed = bed(view);
        one(bed);
        assertEquals(
                bed.said.stream().map(s -> s.split(" ")[0]).reduce("", String::concat),
                said,
                bed.said.toString());
        assertTrue(view.told.contains(told), view.told.toString());
        assertEquals(
                DecisionFixture.count(bed.pass(3000), "deny"),
                said.isEmpty() ? 1 : 0,
                "the one final answer");
    }

    /** Those denied together are told to come back at times apart. */
    @Test
    public void timesToComeBackAreSpread() {
        DecisionFixture bed = bed(new Bound("part"));
        List<Integer> waits = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            one(bed);
            waits.add(Integer.parseInt(bed.said.get(0).split(" ")[2]));
        }
        assertTrue(waits.stream().allMatch(w -> w >= 100 && w <= 500), waits.toString());
        assertTrue(waits.stream().distinct().count() > 15, waits.toString());
    }

    @DataProvider
    public Object[][] furthers() {
        return new Object[][] {
            {"nothing", AttemptOutcome.ERROR, "dispatch"},
            {"further", AttemptOutcome.ERROR, "deny"},
            {"further", AttemptOutcome.OVERLOADED, "dispatch"},
        };
    }

    /**
     * What may have run goes out again only from the fleet's budget; what surely never ran needs
     * none.
     */
    @Test(dataProvider = "furthers")
    public void furtherDispatchesAreTheFleets(String what, AttemptOutcome how, String said) {
        Bound view = new Bound(what);
        DecisionFixture bed = bed(view);
        for (int i = 0; i < 12; i++) bed.ends(one(bed), 0, AttemptOutcome.SUCCESS, true);
        Request req = one(bed);
        assertEquals(
                DecisionFixture.count(bed.ends(req, 0, how, false), said), 1, bed.said.toString());
        assertEquals(view.told.contains("again"), said.equals("dispatch"));
    }

    /**
     * Where an earlier dispatch may have run is told, and no dispatch leaves the group that it went
     * to.
     */
    @Test
    public void aFurtherDispatchKeepsToTheFirstGroup() {
        Bound view = new Bound("first");
        DecisionFixture bed = bed(view);
        for (int i = 0; i < 12; i++) bed.ends(one(bed), 0, AttemptOutcome.SUCCESS, true);
        Request req = one(bed);
        String first = bed.said.get(0).split(" ")[2];
        assertEquals(
                bed.ends(req, 0, AttemptOutcome.ERROR, false),
                List.of("dispatch " + req.id + " " + first));
        assertTrue(view.told.contains("go " + first));
    }

    /**
     * A server that was put aside is left to the gateway that looks after it, and its end is told.
     */
    @Test
    public void anIllServerIsLeftToItsOwner() {
        for (String what : List.of("nothing", "looksAfter")) {
            Bound view = new Bound(what);
            DecisionFixture bed = new DecisionFixture(DecisionFixture.limits(false), false, false);
            bed.list("s1");
            bed.play(in -> in.fleetPolicyChanged(view));
            bed.ends(one(bed), 0, AttemptOutcome.UNREACHABLE, true);
            assertTrue(view.told.contains("ill"));
            bed.pass(1000);
            Request req = one(bed);
            assertEquals(
                    DecisionFixture.count(bed.said, "dispatch"),
                    what.equals("nothing") ? 1 : 0,
                    bed.said.toString());
            if (what.equals("nothing")) bed.ends(req, 0, AttemptOutcome.SUCCESS, true);
            assertEquals(view.told.contains("well"), what.equals("nothing"));
        }
    }
}
