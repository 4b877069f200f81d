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

/** The transitions of a migration by entries of the log, and the routing without a lease. */
public class MigrationStateTest {
    private static final Incarnation GATEWAY = new Incarnation(1, 5);
    private static final Map<String, String> HOME_GROUPS = Map.of("web", "a", "store", "a");

    private static MigrationState newState() {
        return new MigrationState(HOME_GROUPS, since -> List.of(GATEWAY), 0);
    }

    private static MigrationEntry begin() {
        return MigrationEntry.begin(
                "o", 0, MigrationPlanTest.reader().read("f", MigrationPlanTest.VALID_PLAN));
    }

    /**
     * Applies an entry for each letter: b begins a plan, a acknowledges, A acknowledges the
     * previous epoch, g proposes the next step, G skips a step, c proposes the next step without
     * warm capacity, &lt; proposes the previous step, h halts, r resumes, o resumes an earlier
     * halt, x reverts, ! reports failures.
     */
    private static void applyEntries(MigrationState state, String letters, double[] nowMs) {
        for (char letter : letters.toCharArray()) {
            nowMs[0] += 10_000;
            MigrationStatus status = state.status();
            MigrationEntry entry =
                    switch (letter) {
                        case 'b' -> begin();
                        case 'a' -> MigrationEntry.ack(GATEWAY, status.epoch(), nowMs[0]);
                        case 'A' -> MigrationEntry.ack(GATEWAY, status.epoch() - 1, nowMs[0]);
                        case 'g' ->
                                MigrationEntry.proposeStep(
                                        nowMs[0], status.epoch(), status.stepIndex() + 1, 20);
                        case 'G' ->
                                MigrationEntry.proposeStep(
                                        nowMs[0], status.epoch(), status.stepIndex() + 2, 20);
                        case 'c' ->
                                MigrationEntry.proposeStep(
                                        nowMs[0], status.epoch(), status.stepIndex() + 1);
                        case '<' ->
                                MigrationEntry.proposeStep(
                                        nowMs[0], status.epoch(), status.stepIndex() - 1);
                        case 'h' -> MigrationEntry.halt("o", nowMs[0]);
                        case 'r' -> MigrationEntry.resume("o", nowMs[0], state.haltCount());
                        case 'o' -> MigrationEntry.resume("o", nowMs[0], state.haltCount() - 1);
                        case 'x' -> MigrationEntry.revert("o", nowMs[0]);
                        default ->
                                MigrationEntry.report(
                                        GATEWAY,
                                        status.epoch(),
                                        nowMs[0],
                                        100,
                                        1,
                                        100,
                                        12,
                                        0,
                                        0,
                                        0,
                                        0);
                    };
            state.apply(1, entry.encode());
        }
    }

    @DataProvider
    public Object[][] transitions() {
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

    @Test(dataProvider = "transitions")
    public void appliesEntriesByTheTableOfTransitions(String letters, String expected) {
        MigrationState state = newState();
        applyEntries(state, letters, new double[1]);
        assertEquals(
                state.status().state() + " " + state.status().stepIndex(),
                expected,
                state.lastOutcome());
    }

    @Test
    public void staysTheSameOverSnapshotsAndIgnoresMalformedEntriesInRandomHistories() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            MigrationState state = newState();
            MigrationState other = newState();
            double[] nowMs = new double[1];
            double[] otherNowMs = new double[1];
            for (int i = 0; i < 60; i++) {
                String letter = "baaAgggGc<<hrrox!".charAt(random.nextInt(17)) + "";
                MigrationStatus before = state.status();
                applyEntries(state, letter, nowMs);
                applyEntries(other, letter, otherNowMs);
                assertTrue(
                        Math.abs(state.status().stepIndex() - before.stepIndex()) <= 1
                                || letter.equals("b"),
                        "seed " + seed);
                byte[] malformed = begin().encode();
                malformed[random.nextInt(3)] = (byte) (20 + random.nextInt(40));
                byte[] snapshot = state.snapshot();
                state.apply(1, malformed);
                state.apply(1, new byte[random.nextInt(3)]);
                assertEquals(state.snapshot(), snapshot);
                assertTrue(state.lastOutcome().contains("refused"));
                MigrationState restored = newState();
                restored.restore(1, snapshot);
                state = restored;
            }
            assertEquals(state.snapshot(), other.snapshot(), "seed " + seed);
        }
    }

    @Test
    public void withoutALeaseNoRequestThatMayMigrateIsRouted() {
        MigrationState state = newState();
        MigrationRouter router = new MigrationRouter(GATEWAY, state.status(), 10);
        assertFalse(router.mayRoute("web", 1, false, "a", null, 0));
        assertTrue(router.mayRoute("other", 1, false, "a", null, 0));
        router.update(state.status(), new Lease(GATEWAY, 100, 1), false);
        assertTrue(router.mayRoute("web", 1, false, "a", null, 99));
        assertFalse(router.mayRoute("web", 1, false, "b", null, 99));
        assertFalse(router.mayRoute("web", 1, false, "a", null, 100));
        applyEntries(state, "b", new double[1]);
        router.update(state.status(), new Lease(GATEWAY, 100, 1), false);
        assertEquals(router.nextEntry(50).kind(), MigrationEntry.Kind.ACK);
        assertTrue(
                router.mayRoute("store", 1, true, "b", "b", 50),
                "a request with an idempotency key stays in the group of its first attempt");
    }
}
