package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** The contract of the replicated state machine. */
public class RevisionHistoryTest {
    private final RevisionHistory history = new RevisionHistory(Samples.FLEET);

    private static RevisionHistory basic() {
        RevisionHistory history = new RevisionHistory(Samples.FLEET);
        accept(history, new ChangeSet("basics", 0L, Samples.basics()));
        return history;
    }

    @Test
    public void beginsEmptyAtRevisionZero() {
        assertSame(history.current(), Configuration.EMPTY);
        assertEquals(history.oldestRetained(), 0);
        assertEquals(history.updatesSince(0), Optional.of(List.of()));
    }

    @Test
    public void aSetIsAcceptedAsOneRevision() {
        RevisionHistory basic = basic();
        assertEquals(basic.current().revision(), 1);
        assertEquals(basic.current().contentHash(), Samples.basic().contentHash());
        assertEquals(
                basic.updatesSince(0).orElseThrow(), List.of(new Update(0, 1, Samples.basics())));
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of());
        assertEquals(basic.updatesSince(99).orElseThrow(), List.of(), "yet to come");
    }

    @Test
    public void aSetWithAnyFaultChangesNothing() {
        RevisionHistory basic = basic();
        Configuration before = basic.current();
        Rejection refusal =
                refuse(
                        basic,
                        Samples.set(
                                "half",
                                Samples.putService("fine"),
                                new Change.RemoveService("search")));
        assertEquals(refusal.errors().get(0).key(), "changes[1].removeService.name");
        assertSame(basic.current(), before);
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of());
    }

    @Test
    public void anEmptySetIsRefused() {
        assertEquals(refuse(history, Samples.set("nothing")).errors().get(0).key(), "changes");
    }

    @Test
    public void theExpectedRevisionMustBeTheCurrentOne() {
        RevisionHistory basic = basic();
        ChangeSet late = new ChangeSet("late", 0L, List.of(Samples.putService("s")));
        assertEquals(
                refuse(basic, late).errors(),
                List.of(new ValidationError("expectedRevision", "the current revision, 1")));
        accept(basic, new ChangeSet("right", 1L, List.of(Samples.putService("s"))));
        assertEquals(basic.current().revision(), 2);
    }

    @Test
    public void aRepeatedProposalHasTheFirstOutcome() {
        RevisionHistory basic = basic();
        ChangeSet accepted = Samples.set("one", Samples.putService("s"));
        ChangeSet refused = Samples.set("two", Samples.putRoute("r", "later"));
        Outcome first = basic.propose(accepted);
        Outcome second = basic.propose(refused);
        accept(basic, Samples.set("three", Samples.putService("later")));
        assertEquals(basic.propose(accepted), first);
        assertEquals(basic.propose(refused), second);
        assertEquals(basic.current().revision(), 3);
    }

    @Test
    public void anIdServesOneProposal() {
        RevisionHistory basic = basic();
        accept(basic, Samples.set("one", Samples.putService("a")));
        Rejection refusal = refuse(basic, Samples.set("one", Samples.putService("b")));
        assertEquals(refusal.errors().get(0).key(), "id");
        assertEquals(
                basic.propose(Samples.set("one", Samples.putService("a"))),
                new Outcome.Accepted(2),
                "the first one's outcome is still known");
        assertEquals(refuse(basic, Samples.set("no name")).errors().get(0).key(), "id");
        assertEquals(refuse(basic, Samples.set("no\nname")).errors().get(0).key(), "id");
    }

    @Test
    public void aRevertIsANewRevisionWithTheOldContent() {
        RevisionHistory basic = basic();
        accept(
                basic,
                Samples.set(
                        "more",
                        Samples.putPlan("other", 3),
                        Samples.putTenant(1, "other"),
                        Samples.putTenant(2, "other")));
        accept(basic, Samples.set("less", new Change.RemoveRoute("lookup")));
        assertEquals(accept(basic, new Revert("back", 1)), 4);
        assertEquals(basic.current().contentHash(), Samples.basic().contentHash());
        Update update = basic.updatesSince(3).orElseThrow().get(0);
        assertEquals(
                Samples.basic().with(2, List.of()).contentHash(), basic.current().contentHash());
        assertEquals(update.fromRevision(), 3);
        assertEquals(accept(basic, new Revert("back-to-it", 3)), 5);
        assertTrue(basic.current().routes().isEmpty());
    }

    @Test
    public void aRevertToTheCurrentContentIsARevisionToo() {
        RevisionHistory basic = basic();
        assertEquals(accept(basic, new Revert("same", 1)), 2);
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of(new Update(1, 2, List.of())));
    }

    @Test
    public void aRevertToWhatIsNotRetainedIsRefused() {
        RevisionHistory small =
                new RevisionHistory(Samples.FLEET, new RevisionHistory.Retention(2, 10_000));
        for (int i = 0; i < 5; i++) {
            accept(small, Samples.set("s" + i, Samples.putService("s" + i)));
        }
        assertEquals(
                refuse(small, new Revert("far", 2)).errors(),
                List.of(new ValidationError("revertTo", "a retained revision, 3 to 5")));
        assertEquals(refuse(small, new Revert("ahead", 6)).errors().get(0).key(), "revertTo");
        accept(small, new Revert("near", 3));
        assertEquals(small.current().services().size(), 3);
    }

    @Test
    public void retainedUpdatesAreBoundedByCount() {
        RevisionHistory small =
                new RevisionHistory(Samples.FLEET, new RevisionHistory.Retention(3, 10_000));
        for (int i = 0; i < 10; i++) {
            accept(small, Samples.set("s" + i, Samples.putService("s" + i)));
            assertTrue(small.retainedUpdates() <= 3);
        }
        assertEquals(small.oldestRetained(), 7);
        assertEquals(small.updatesSince(6), Optional.empty());
        assertEquals(small.updatesSince(7).orElseThrow().size(), 3);
        assertEquals(small.current().services().size(), 10);
    }

    @Test
    public void retainedUpdatesAreBoundedByBytes() {
        RevisionHistory small =
                new RevisionHistory(Samples.FLEET, new RevisionHistory.Retention(100, 1000));
        for (int i = 0; i < 50; i++) {
            accept(small, Samples.set("s" + i, Samples.putService("s" + i)));
            assertTrue(small.retainedBytes() <= 1000);
        }
        assertTrue(small.retainedUpdates() > 5);
        List<Change> large = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            large.add(Samples.putService("large" + i));
        }
        accept(small, new ChangeSet("large", null, large));
        assertEquals(small.retainedUpdates(), 0, "a single one may be too large");
        assertEquals(small.oldestRetained(), 51);
        assertEquals(small.updatesSince(50), Optional.empty());
    }

    @Test
    public void rememberedProposalsAreBounded() {
        RevisionHistory basic = basic();
        int beyond = ConfigurationLimits.MAX_REMEMBERED_PROPOSALS + 100;
        for (int i = 0; i < beyond; i++) {
            basic.propose(Samples.set("id" + i, new Change.RemoveRoute("absent")));
        }
        assertEquals(basic.rememberedProposals(), ConfigurationLimits.MAX_REMEMBERED_PROPOSALS);
        accept(basic, Samples.set("basics", Samples.putService("s")));
    }

    @Test
    public void rememberedFaultsAreBounded() {
        RevisionHistory basic = basic();
        List<Change> faulty = new ArrayList<>();
        for (int i = 0; i < ConfigurationLimits.MAX_ERRORS; i++) {
            faulty.add(new Change.RemoveRoute("x".repeat(500) + i));
        }
        for (int i = 0; i < 1000; i++) {
            basic.propose(new ChangeSet("id" + i, null, faulty));
        }
        int characters = ConfigurationLimits.MAX_ERRORS * 500;
        assertTrue(
                basic.rememberedProposals()
                        <= ConfigurationLimits.MAX_REMEMBERED_CHARACTERS / characters,
                basic.rememberedProposals() + " remembered");
    }

    @Test
    public void aRestoredHistoryGoesOnAsTheOriginal() throws Exception {
        RevisionHistory original = basic();
        accept(original, Samples.set("one", Samples.putService("s")));
        RevisionHistory copy = new RevisionHistory(Samples.FLEET);
        accept(copy, Samples.set("forgotten", Samples.putService("elsewhere")));
        copy.restore(original.snapshot());
        assertEquals(copy.snapshot(), original.snapshot());
        assertEquals(copy.updatesSince(0), original.updatesSince(0));
        assertEquals(
                copy.propose(Samples.set("one", Samples.putService("s"))), new Outcome.Accepted(2));
        assertEquals(accept(copy, new Revert("back", 1)), 3);
        assertEquals(copy.current().contentHash(), Samples.basic().contentHash());
    }

    @Test
    public void aBadSnapshotLeavesTheStateAsItWas() {
        RevisionHistory basic = basic();
        byte[] whole = basic.snapshot();
        byte[] foreign = new RevisionHistory("other").snapshot();
        byte[] configuration = new SnapshotCodec(Samples.FLEET).encode(Samples.basic());
        for (byte[] bad : List.of(foreign, configuration, Arrays.copyOf(whole, 60))) {
            expectThrows(InvalidConfigurationException.class, () -> basic.restore(bad));
            assertEquals(basic.snapshot(), whole);
        }
        for (int length = 0; length < whole.length; length++) {
            byte[] torn = Arrays.copyOf(whole, length);
            expectThrows(InvalidConfigurationException.class, () -> basic.restore(torn));
        }
        assertEquals(basic.snapshot(), whole);
    }

    private static long accept(RevisionHistory history, Proposal proposal) {
        Outcome outcome = history.propose(proposal);
        assertTrue(outcome instanceof Outcome.Accepted, outcome.toString());
        long revision = ((Outcome.Accepted) outcome).revision();
        assertEquals(history.current().revision(), revision);
        return revision;
    }

    private static Rejection refuse(RevisionHistory history, Proposal proposal) {
        Configuration before = history.current();
        Outcome outcome = history.propose(proposal);
        assertTrue(outcome instanceof Outcome.Rejected, outcome.toString());
        assertSame(history.current(), before);
        return ((Outcome.Rejected) outcome).rejection();
    }
}
