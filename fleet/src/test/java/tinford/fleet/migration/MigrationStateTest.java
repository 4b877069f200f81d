package tinford.fleet.migration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;

/** Stages of a move: begun, acknowledged, completed and reverted. */
public class MigrationStateTest {
    private static final Incarnation ONE = new Incarnation(1, 5);
    private static final Map<String, String> HOMES = Map.of("web", "a", "store", "a");

    private static MigrationState moves() {
        return new MigrationState(HOMES, since -> List.of(ONE), 0);
    }

    private static MigrationEntry begin() {
        return MigrationEntry.begin(
                "o", 0, MigrationPlanTest.reader().read("f", MigrationPlanTest.GOOD));
    }

    /**
     * b begin, a ack, A ack of another turn, g go ahead, G go too far, < go back, h halt, r resume,
     * o resume of an earlier halt, x back, ! bad.
     */
    private static void play(MigrationState m, String what, double[] now) {
        for (char c : what.toCharArray()) {
            now[0] += 10_000;
            MigrationStatus s = m.status();
            MigrationEntry e =
                    switch (c) {
                        case 'b' -> begin();
                        case 'a' -> MigrationEntry.ack(ONE, s.epoch(), now[0]);
                        case 'A' -> MigrationEntry.ack(ONE, s.epoch() - 1, now[0]);
                        case 'g' -> MigrationEntry.go(now[0], s.epoch(), s.stepIndex() + 1, 20);
                        case 'G' -> MigrationEntry.go(now[0], s.epoch(), s.stepIndex() + 2, 20);
                        case 'c' -> MigrationEntry.go(now[0], s.epoch(), s.stepIndex() + 1);
                        case '<' -> MigrationEntry.go(now[0], s.epoch(), s.stepIndex() - 1);
                        case 'h' -> MigrationEntry.halt("o", now[0]);
                        case 'r' -> MigrationEntry.resume("o", now[0], m.haltCount());
                        case 'o' -> MigrationEntry.resume("o", now[0], m.haltCount() - 1);
                        case 'x' -> MigrationEntry.back("o", now[0]);
                        default ->
                                MigrationEntry.report(
                                        ONE, s.epoch(), now[0], 100, 1, 100, 12, 0, 0, 0, 0);
                    };
            m.apply(1, e.encode());
        }
    }

    @DataProvider
    public Object[][] table() {
        return new Object[][] {
            {"aghrx<!", "IDLE 0"},
            {"b", "FORWARD 0"},
            {"bb", "FORWARD 0"},
            {"bg", "FORWARD 0"},
            {"bAg", "FORWARD 0"},
            {"bag", "FORWARD 1"},
            {"baG", "FORWARD 0"},
            {"ba<", "FORWARD 0"},
            {"bagg", "FORWARD 1"},
            {"bagagacg", "FORWARD 3"},
            {"bagagagac", "FORWARD 3"},
            {"bh", "HALTED 0"},
            {"bhh", "HALTED 0"},
            {"bhag", "HALTED 0"},
            {"bhb", "HALTED 0"},
            {"bhr", "FORWARD 0"},
            {"bhrr", "FORWARD 0"},
            {"bho", "HALTED 0"},
            {"bhrho", "HALTED 0"},
            {"bhx", "BACK 0"},
            {"bagx<", "BACK 0"},
            {"bagx<a<", "UNDONE 0"},
            {"bagagx<<", "BACK 1"},
            {"bagagxhr<", "BACK 1"},
            {"bagxx", "BACK 1"},
            {"bagag!", "BACK 2"},
            {"bagagh!", "HALTED 2"},
            {"bagagagagagag", "DONE 5"},
            {"bagagagagagagb", "DONE 5"},
            {"bagagagagagagx", "BACK 5"},
            {"bagx<a<b", "FORWARD 0"},
        };
    }

    @Test(dataProvider = "table")
    public void entriesDoWhatTheTableSays(String what, String expected) {
        MigrationState m = moves();
        play(m, what, new double[1]);
        assertEquals(m.status().state() + " " + m.status().stepIndex(), expected, m.lastOutcome());
    }

    @Test
    public void drawnHistoriesHoldOverSnapshotsAndRubbish() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            MigrationState m = moves();
            MigrationState other = moves();
            double[] now = new double[1];
            double[] same = new double[1];
            for (int i = 0; i < 60; i++) {
                String one = "baaAgggGc<<hrrox!".charAt(random.nextInt(17)) + "";
                MigrationStatus before = m.status();
                play(m, one, now);
                play(other, one, same);
                assertTrue(
                        Math.abs(m.status().stepIndex() - before.stepIndex()) <= 1
                                || one.equals("b"),
                        "seed " + seed);
                byte[] rubbish = begin().encode();
                rubbish[random.nextInt(3)] = (byte) (20 + random.nextInt(40));
                byte[] was = m.snapshot();
                m.apply(1, rubbish);
                m.apply(1, new byte[random.nextInt(3)]);
                assertEquals(m.snapshot(), was);
                assertTrue(m.lastOutcome().contains("refused"));
                MigrationState restored = moves();
                restored.restore(1, was);
                m = restored;
            }
            assertEquals(m.snapshot(), other.snapshot(), "seed " + seed);
        }
    }

    @Test
    public void withoutATermNothingOfWhatMayMoveIsSent() {
        MigrationState m = moves();
        MigrationRouter r = new MigrationRouter(ONE, m.status(), 10);
        assertFalse(r.mayRoute("web", 1, false, "a", null, 0));
        assertTrue(r.mayRoute("other", 1, false, "a", null, 0));
        r.update(m.status(), new Lease(ONE, 100, 1), false);
        assertTrue(r.mayRoute("web", 1, false, "a", null, 99));
        assertFalse(r.mayRoute("web", 1, false, "b", null, 99));
        assertFalse(r.mayRoute("web", 1, false, "a", null, 100));
        play(m, "b", new double[1]);
        r.update(m.status(), new Lease(ONE, 100, 1), false);
        assertEquals(r.nextEntry(50).kind(), MigrationEntry.Kind.ACK);
        assertTrue(r.mayRoute("store", 1, true, "b", "b", 50), "stays with its first group");
    }
}
