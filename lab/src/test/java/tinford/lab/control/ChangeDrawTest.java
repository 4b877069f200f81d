package tinford.lab.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.RevisionHistory;

/** Drawn configurations and changes, held against the control servers' own state machine. */
public class ChangeDrawTest {
    private static final ControlSize SMALL = new ControlSize(3, 1, 0, 20, 2, 10, 30, 200);
    private static final int CHANGES = 400;

    private static ChangeDraw draw(long seed) {
        return new ChangeDraw(RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static void accept(RevisionHistory history, ChangeSet set) {
        Outcome outcome = history.propose(set);
        assertTrue(outcome instanceof Outcome.Accepted, set + ": " + outcome);
    }

    @Test
    public void theLoadHasTheSizeThatIsAskedFor() {
        RevisionHistory history = new RevisionHistory("test");
        draw(1).load(SMALL, List.of()).forEach(set -> accept(history, set));
        Configuration all = history.current();
        assertEquals(all.services().size(), SMALL.services());
        assertEquals(all.routes().size(), SMALL.routes());
        assertEquals(all.tenants().size(), SMALL.tenants());
    }

    @Test
    public void drawnChangesAreAcceptedAndOfEveryKind() {
        RevisionHistory history = new RevisionHistory("test");
        ChangeDraw draw = draw(2);
        draw.load(SMALL, List.of()).forEach(set -> accept(history, set));
        Set<Class<?>> kinds = new HashSet<>();
        for (int i = 0; i < CHANGES; i++) {
            ChangeSet set = draw.next("change-" + i, history.current());
            set.changes().forEach(change -> kinds.add(change.getClass()));
            accept(history, set);
        }
        assertEquals(
                kinds,
                Set.of(
                        Change.PutTenant.class,
                        Change.RemoveTenant.class,
                        Change.PutRoute.class,
                        Change.PutService.class,
                        Change.PutPlan.class));
    }

    @Test
    public void theSameSeedDrawsTheSame() {
        assertEquals(draw(3).load(SMALL, List.of()), draw(3).load(SMALL, List.of()));
        assertNotEquals(draw(3).load(SMALL, List.of()), draw(4).load(SMALL, List.of()));
    }

    @Test
    public void aDigestTellsContentsApart() {
        ChangeDraw draw = draw(5);
        Configuration loaded = Configuration.EMPTY;
        for (ChangeSet set : draw.load(SMALL, List.of())) {
            loaded = loaded.with(loaded.revision() + 1, set.changes());
        }
        ChangeSet next = draw.next("next", loaded);
        Configuration changed = loaded.with(loaded.revision() + 1, next.changes());
        Configuration same = loaded.with(loaded.revision() + 7, next.changes());
        assertNotEquals(ContentDigest.of(changed), ContentDigest.of(loaded));
        assertEquals(ContentDigest.of(same), ContentDigest.of(changed));
    }
}
