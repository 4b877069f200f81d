package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Compares random histories with a reference model, and voters with each other. */
public class RevisionHistoryModelTest {
    private static final int SEEDS = 300;
    private static final int PROPOSALS = 60;

    @Test
    public void randomHistoriesMatchTheReferenceModel() {
        int accepted = 0;
        int rejected = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RevisionHistory history = new RevisionHistory(ConfigurationFixtures.FLEET);
            ReferenceHistory reference = new ReferenceHistory();
            List<Proposal> earlier = new ArrayList<>();
            for (int step = 0; step < PROPOSALS; step++) {
                Proposal proposal = draw(random, earlier, history);
                earlier.add(proposal);
                Long expected = reference.propose(proposal);
                Outcome outcome = history.propose(proposal);
                String where = "seed " + seed + " step " + step + " " + proposal + " " + outcome;
                Long revision = outcome instanceof Outcome.Accepted a ? a.revision() : null;
                assertEquals(revision, expected, where);
                assertEquals(history.current().revision(), reference.currentRevision(), where);
                assertEquals(
                        ReferenceHistory.contentOf(history.current()),
                        reference.at(reference.currentRevision()),
                        where);
                if (expected == null) {
                    rejected++;
                } else {
                    accepted++;
                }
            }
            assertUpdatesLeadToTheCurrentRevision(history, reference);
        }
        assertTrue(
                accepted > 3000 && rejected > 3000,
                accepted + " accepted, " + rejected + " rejected");
    }

    @Test
    public void sameLogGivesSameSnapshotOnEachVoter() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RevisionHistory.Retention retention =
                    new RevisionHistory.Retention(random.nextInt(40), 200 + random.nextInt(8000));
            RevisionHistory first = new RevisionHistory(ConfigurationFixtures.FLEET, retention);
            List<byte[]> log = new ArrayList<>();
            List<Outcome> outcomes = new ArrayList<>();
            List<Proposal> earlier = new ArrayList<>();
            int cut = random.nextInt(PROPOSALS);
            byte[] atCut = first.snapshot();
            for (int step = 0; step < PROPOSALS; step++) {
                if (step == cut) {
                    atCut = first.snapshot();
                }
                Proposal proposal = draw(random, earlier, first);
                earlier.add(proposal);
                log.add(ConfigurationCodec.encode(proposal));
                outcomes.add(first.propose(proposal));
            }
            RevisionHistory whole = new RevisionHistory(ConfigurationFixtures.FLEET, retention);
            assertEquals(replay(whole, log), outcomes, "seed " + seed);
            assertEquals(whole.snapshot(), first.snapshot(), "seed " + seed);
            RevisionHistory restored = new RevisionHistory(ConfigurationFixtures.FLEET, retention);
            restored.restore(atCut);
            assertEquals(
                    replay(restored, log.subList(cut, log.size())),
                    outcomes.subList(cut, outcomes.size()),
                    "seed " + seed);
            assertEquals(restored.snapshot(), first.snapshot(), "seed " + seed);
            assertEquals(restored.current().contentHash(), first.current().contentHash());
        }
    }

    /** Draws a random proposal; one in ten repeats an earlier one. */
    private static Proposal draw(Random random, List<Proposal> earlier, RevisionHistory history) {
        if (!earlier.isEmpty() && random.nextInt(10) == 0) {
            return earlier.get(random.nextInt(earlier.size()));
        }
        return ConfigurationFixtures.randomProposal(random, history.current().revision());
    }

    private static List<Outcome> replay(RevisionHistory history, List<byte[]> log)
            throws InvalidConfigurationException {
        List<Outcome> outcomes = new ArrayList<>();
        for (byte[] entry : log) {
            outcomes.add(history.propose(ConfigurationCodec.decodeProposal(entry)));
        }
        return outcomes;
    }

    /** Applies the updates one by one and compares each revision with the reference model. */
    private static void assertUpdatesLeadToTheCurrentRevision(
            RevisionHistory history, ReferenceHistory reference) {
        Configuration configuration = Configuration.EMPTY;
        for (Update update : history.updatesSince(0).orElseThrow()) {
            assertEquals(update.fromRevision(), configuration.revision());
            assertEquals(Validator.check(configuration, update.changes()), List.of());
            configuration = configuration.with(update.revision(), update.changes());
            assertEquals(
                    ReferenceHistory.contentOf(configuration),
                    reference.at(configuration.revision()));
            assertEquals(Validator.check(configuration), List.of());
        }
        assertEquals(configuration.contentHash(), history.current().contentHash());
        assertEquals(configuration.revision(), history.current().revision());
    }
}
