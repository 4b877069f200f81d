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

/** Outcomes of proposals, reverts, retention and snapshots of the replicated state machine. */
public class RevisionHistoryTest {
    private final RevisionHistory history = new RevisionHistory(ConfigurationFixtures.FLEET);

    private static RevisionHistory basic() {
        RevisionHistory history = new RevisionHistory(ConfigurationFixtures.FLEET);
        accept(history, new ChangeSet("basics", 0L, ConfigurationFixtures.basicChanges()));
        return history;
    }

    @Test
    public void startsEmptyAtRevisionZero() {
        assertSame(history.current(), Configuration.EMPTY);
        assertEquals(history.oldestRetained(), 0);
        assertEquals(history.updatesSince(0), Optional.of(List.of()));
    }

    @Test
    public void changeSetIsAcceptedAsOneRevision() {
        RevisionHistory basic = basic();
        assertEquals(basic.current().revision(), 1);
        assertEquals(
                basic.current().contentHash(),
                ConfigurationFixtures.basicConfiguration().contentHash());
        assertEquals(
                basic.updatesSince(0).orElseThrow(),
                List.of(new Update(0, 1, ConfigurationFixtures.basicChanges())));
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of());
        assertEquals(basic.updatesSince(99).orElseThrow(), List.of(), "future revision");
    }

    @Test
    public void changeSetWithAnyErrorChangesNothing() {
        RevisionHistory basic = basic();
        Configuration before = basic.current();
        Rejection rejection =
                reject(
                        basic,
                        ConfigurationFixtures.changeSet(
                                "half",
                                ConfigurationFixtures.putService("fine"),
                                new Change.RemoveService("search")));
        assertEquals(rejection.errors().get(0).key(), "changes[1].removeService.name");
        assertSame(basic.current(), before);
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of());
    }

    @Test
    public void emptyChangeSetIsRejected() {
        assertEquals(
                reject(history, ConfigurationFixtures.changeSet("nothing")).errors().get(0).key(),
                "changes");
    }

    @Test
    public void expectedRevisionMustBeTheCurrentOne() {
        RevisionHistory basic = basic();
        ChangeSet late = new ChangeSet("late", 0L, List.of(ConfigurationFixtures.putService("s")));
        assertEquals(
                reject(basic, late).errors(),
                List.of(new ValidationError("expectedRevision", "the current revision, 1")));
        accept(basic, new ChangeSet("right", 1L, List.of(ConfigurationFixtures.putService("s"))));
        assertEquals(basic.current().revision(), 2);
    }

    @Test
    public void repeatedProposalHasTheFirstOutcome() {
        RevisionHistory basic = basic();
        ChangeSet accepted =
                ConfigurationFixtures.changeSet("one", ConfigurationFixtures.putService("s"));
        ChangeSet rejected =
                ConfigurationFixtures.changeSet(
                        "two", ConfigurationFixtures.putRoute("r", "later"));
        Outcome first = basic.propose(accepted);
        Outcome second = basic.propose(rejected);
        accept(
                basic,
                ConfigurationFixtures.changeSet(
                        "three", ConfigurationFixtures.putService("later")));
        assertEquals(basic.propose(accepted), first);
        assertEquals(basic.propose(rejected), second);
        assertEquals(basic.current().revision(), 3);
    }

    @Test
    public void idOfAnotherProposalIsRejected() {
        RevisionHistory basic = basic();
        accept(
                basic,
                ConfigurationFixtures.changeSet("one", ConfigurationFixtures.putService("a")));
        Rejection rejection =
                reject(
                        basic,
                        ConfigurationFixtures.changeSet(
                                "one", ConfigurationFixtures.putService("b")));
        assertEquals(rejection.errors().get(0).key(), "id");
        assertEquals(
                basic.propose(
                        ConfigurationFixtures.changeSet(
                                "one", ConfigurationFixtures.putService("a"))),
                new Outcome.Accepted(2),
                "the outcome of the first proposal is no longer known");
        assertEquals(
                reject(basic, ConfigurationFixtures.changeSet("no name")).errors().get(0).key(),
                "id");
        assertEquals(
                reject(basic, ConfigurationFixtures.changeSet("no\nname")).errors().get(0).key(),
                "id");
    }

    @Test
    public void revertIsANewRevisionWithTheOldContent() {
        RevisionHistory basic = basic();
        accept(
                basic,
                ConfigurationFixtures.changeSet(
                        "more",
                        ConfigurationFixtures.putPlan("other", 3),
                        ConfigurationFixtures.putTenant(1, "other"),
                        ConfigurationFixtures.putTenant(2, "other")));
        accept(basic, ConfigurationFixtures.changeSet("less", new Change.RemoveRoute("lookup")));
        assertEquals(accept(basic, new Revert("back", 1)), 4);
        assertEquals(
                basic.current().contentHash(),
                ConfigurationFixtures.basicConfiguration().contentHash());
        Update update = basic.updatesSince(3).orElseThrow().get(0);
        assertEquals(
                ConfigurationFixtures.basicConfiguration().with(2, List.of()).contentHash(),
                basic.current().contentHash());
        assertEquals(update.fromRevision(), 3);
        assertEquals(accept(basic, new Revert("back-to-it", 3)), 5);
        assertTrue(basic.current().routes().isEmpty());
    }

    @Test
    public void revertToTheCurrentContentIsANewRevision() {
        RevisionHistory basic = basic();
        assertEquals(accept(basic, new Revert("same", 1)), 2);
        assertEquals(basic.updatesSince(1).orElseThrow(), List.of(new Update(1, 2, List.of())));
    }

    @Test
    public void revertToARevisionThatIsNotRetainedIsRejected() {
        RevisionHistory small =
                new RevisionHistory(
                        ConfigurationFixtures.FLEET, new RevisionHistory.Retention(2, 10_000));
        for (int i = 0; i < 5; i++) {
            accept(
                    small,
                    ConfigurationFixtures.changeSet(
                            "s" + i, ConfigurationFixtures.putService("s" + i)));
        }
        assertEquals(
                reject(small, new Revert("far", 2)).errors(),
                List.of(new ValidationError("revertTo", "a retained revision, 3 to 5")));
        assertEquals(reject(small, new Revert("ahead", 6)).errors().get(0).key(), "revertTo");
        accept(small, new Revert("near", 3));
        assertEquals(small.current().services().size(), 3);
    }

    @Test
    public void retainedUpdatesAreBoundedByCount() {
        RevisionHistory small =
                new RevisionHistory(
                        ConfigurationFixtures.FLEET, new RevisionHistory.Retention(3, 10_000));
        for (int i = 0; i < 10; i++) {
            accept(
                    small,
                    ConfigurationFixtures.changeSet(
                            "s" + i, ConfigurationFixtures.putService("s" + i)));
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
                new RevisionHistory(
                        ConfigurationFixtures.FLEET, new RevisionHistory.Retention(100, 1000));
        for (int i = 0; i < 50; i++) {
            accept(
                    small,
                    ConfigurationFixtures.changeSet(
                            "s" + i, ConfigurationFixtures.putService("s" + i)));
            assertTrue(small.retainedBytes() <= 1000);
        }
        assertTrue(small.retainedUpdates() > 5);
        List<Change> large = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            large.add(ConfigurationFixtures.putService("large" + i));
        }
        accept(small, new ChangeSet("large", null, large));
        assertEquals(
                small.retainedUpdates(), 0, "retained an update that exceeds the limit on its own");
        assertEquals(small.oldestRetained(), 51);
        assertEquals(small.updatesSince(50), Optional.empty());
    }

    @Test
    public void rememberedProposalsAreBounded() {
        RevisionHistory basic = basic();
        int beyond = ConfigurationLimits.MAX_RETAINED_PROPOSALS + 100;
        for (int i = 0; i < beyond; i++) {
            basic.propose(
                    ConfigurationFixtures.changeSet("id" + i, new Change.RemoveRoute("absent")));
        }
        assertEquals(basic.retainedProposals(), ConfigurationLimits.MAX_RETAINED_PROPOSALS);
        accept(
                basic,
                ConfigurationFixtures.changeSet("basics", ConfigurationFixtures.putService("s")));
    }

    @Test
    public void rememberedErrorsAreBounded() {
        RevisionHistory basic = basic();
        List<Change> invalid = new ArrayList<>();
        for (int i = 0; i < ConfigurationLimits.MAX_ERRORS; i++) {
            invalid.add(new Change.RemoveRoute("x".repeat(500) + i));
        }
        for (int i = 0; i < 1000; i++) {
            basic.propose(new ChangeSet("id" + i, null, invalid));
        }
        int characters = ConfigurationLimits.MAX_ERRORS * 500;
        assertTrue(
                basic.retainedProposals()
                        <= ConfigurationLimits.MAX_RETAINED_PROPOSAL_CHARACTERS / characters,
                basic.retainedProposals() + " proposals retained");
    }

    @Test
    public void restoredHistoryBehavesLikeTheOriginal() throws Exception {
        RevisionHistory original = basic();
        accept(
                original,
                ConfigurationFixtures.changeSet("one", ConfigurationFixtures.putService("s")));
        RevisionHistory copy = new RevisionHistory(ConfigurationFixtures.FLEET);
        accept(
                copy,
                ConfigurationFixtures.changeSet(
                        "forgotten", ConfigurationFixtures.putService("elsewhere")));
        copy.restore(original.snapshot());
        assertEquals(copy.snapshot(), original.snapshot());
        assertEquals(copy.updatesSince(0), original.updatesSince(0));
        assertEquals(
                copy.propose(
                        ConfigurationFixtures.changeSet(
                                "one", ConfigurationFixtures.putService("s"))),
                new Outcome.Accepted(2));
        assertEquals(accept(copy, new Revert("back", 1)), 3);
        assertEquals(
                copy.current().contentHash(),
                ConfigurationFixtures.basicConfiguration().contentHash());
    }

    @Test
    public void invalidSnapshotLeavesTheStateUnchanged() {
        RevisionHistory basic = basic();
        byte[] whole = basic.snapshot();
        byte[] foreign = new RevisionHistory("other").snapshot();
        byte[] configuration =
                new SnapshotCodec(ConfigurationFixtures.FLEET)
                        .encode(ConfigurationFixtures.basicConfiguration());
        for (byte[] bad : List.of(foreign, configuration, Arrays.copyOf(whole, 60))) {
            expectThrows(InvalidConfigurationException.class, () -> basic.restore(bad));
            assertEquals(basic.snapshot(), whole);
        }
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            expectThrows(InvalidConfigurationException.class, () -> basic.restore(truncated));
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

    private static Rejection reject(RevisionHistory history, Proposal proposal) {
        Configuration before = history.current();
        Outcome outcome = history.propose(proposal);
        assertTrue(outcome instanceof Outcome.Rejected, outcome.toString());
        assertSame(history.current(), before);
        return ((Outcome.Rejected) outcome).rejection();
    }
}
