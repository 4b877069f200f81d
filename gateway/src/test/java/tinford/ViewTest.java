package tinford;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.*;

/** What a fleet has settled binds the decisions, and they tell it what it needs to settle more. */
public class ViewTest {
    private static final Frontend READ = Bed.frontend(Effect.IDEMPOTENT, Group.ALL);
    private static final Plan FREE = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);

    /** A view that bounds one thing, and notes what it is told. */
    private static final class Bound extends View {
        final String what;
        final List<String> told = new ArrayList<>();

        Bound(String what) {
            this.what = what;
        }

        @Override
        public double part(double worth) {
            return what.equals("part") ? 0 : 1;
        }

        @Override
        public double further(double own) {
            return what.equals("further") ? 0 : own;
        }

        @Override
        public boolean looksAfter(Srv srv) {
            return !what.equals("looksAfter");
        }

        @Override
        public int mayHold(Srv srv) {
            return what.equals("hold") ? 0 : 9;
        }

        @Override
        public int mayUse(Customer c) {
            return what.equals("use") ? 0 : 9;
        }

        @Override
        public boolean mayGo(Req req, Srv srv, Srv first) {
            told.add("go " + (first == null ? "-" : first.id));
            return !what.equals("go") && (!what.equals("first") || first == null || first == srv);
        }

        @Override
        public boolean goes(Req req) {
            return !what.equals("goes");
        }

        @Override
        public double spread() {
            return what.equals("part") ? 400 : 0;
        }

        @Override
        public void asked(Req req, double worth) {
            told.add("asked");
        }

        @Override
        public void sent(Req req, Srv srv, double worth, boolean further) {
            told.add(further ? "again" : "sent");
        }

        @Override
        public void ended(Req req, Srv srv, End how, boolean late) {
            told.add("ended " + how);
        }

        @Override
        public void lacked(Req req) {
            told.add("lacked");
        }

        @Override
        public void ill(Srv srv, boolean ill) {
            told.add(ill ? "ill" : "well");
        }
    }

    private static Bed bed(View view) {
        Bed bed = new Bed(Bed.limits(false), false, false);
        bed.list("s1", "s2", "s3");
        bed.play(in -> in.sees(view));
        return bed;
    }

    private static Req one(Bed bed) {
        Req req = bed.req(Bed.customer(FREE), READ, 1);
        bed.play(in -> in.arrived(req));
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
        Bed bed = bed(view);
        one(bed);
        assertEquals(
                bed.said.stream().map(s -> s.split(" ")[0]).reduce("", String::concat),
                said,
                bed.said.toString());
        assertTrue(view.told.contains(told), view.told.toString());
        assertEquals(
                Bed.count(bed.pass(3000), "deny"), said.isEmpty() ? 1 : 0, "the one final answer");
    }

    /** Those denied together are told to come back at times apart. */
    @Test
    public void timesToComeBackAreSpread() {
        Bed bed = bed(new Bound("part"));
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
            {"nothing", End.ERROR, "dispatch"},
            {"further", End.ERROR, "deny"},
            {"further", End.FULL, "dispatch"},
        };
    }

    /**
     * What may have run goes out again only from the fleet's budget; what surely never ran needs
     * none.
     */
    @Test(dataProvider = "furthers")
    public void furtherDispatchesAreTheFleets(String what, End how, String said) {
        Bound view = new Bound(what);
        Bed bed = bed(view);
        for (int i = 0; i < 12; i++) bed.ends(one(bed), 0, End.GOOD, true);
        Req req = one(bed);
        assertEquals(Bed.count(bed.ends(req, 0, how, false), said), 1, bed.said.toString());
        assertEquals(view.told.contains("again"), said.equals("dispatch"));
    }

    /**
     * Where an earlier dispatch may have run is told, and no dispatch leaves the group that it went
     * to.
     */
    @Test
    public void aFurtherDispatchKeepsToTheFirstGroup() {
        Bound view = new Bound("first");
        Bed bed = bed(view);
        for (int i = 0; i < 12; i++) bed.ends(one(bed), 0, End.GOOD, true);
        Req req = one(bed);
        String first = bed.said.get(0).split(" ")[2];
        assertEquals(
                bed.ends(req, 0, End.ERROR, false), List.of("dispatch " + req.id + " " + first));
        assertTrue(view.told.contains("go " + first));
    }

    /**
     * A server that was put aside is left to the gateway that looks after it, and its end is told.
     */
    @Test
    public void anIllServerIsLeftToItsOwner() {
        for (String what : List.of("nothing", "looksAfter")) {
            Bound view = new Bound(what);
            Bed bed = new Bed(Bed.limits(false), false, false);
            bed.list("s1");
            bed.play(in -> in.sees(view));
            bed.ends(one(bed), 0, End.UNREACHABLE, true);
            assertTrue(view.told.contains("ill"));
            bed.pass(1000);
            Req req = one(bed);
            assertEquals(
                    Bed.count(bed.said, "dispatch"),
                    what.equals("nothing") ? 1 : 0,
                    bed.said.toString());
            if (what.equals("nothing")) bed.ends(req, 0, End.GOOD, true);
            assertEquals(view.told.contains("well"), what.equals("nothing"));
        }
    }
}
