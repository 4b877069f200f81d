package tinford.lab.control;

import static org.testng.Assert.assertEquals;
import static tinford.lab.control.Lines.accepted;
import static tinford.lab.control.Lines.applied;
import static tinford.lab.control.Lines.at;
import static tinford.lab.control.Lines.entered;
import static tinford.lab.control.Lines.notApplied;
import static tinford.lab.control.Lines.of;
import static tinford.lab.control.Lines.started;
import static tinford.lab.control.Lines.stopped;

import java.util.List;
import org.testng.annotations.Test;
import tinford.lab.fleet.History;

/** Times until a revision is in force, from histories made by hand. */
public class InForceTest {
    private static final History.Line EAST = started(0, "e", "east", Events.DISK_LOST);
    private static final History.Line WEST = started(0, "w", "west", Events.DISK_LOST);

    @Test
    public void countsFromTheAcknowledgedAttemptToTheLastFollower() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                WEST,
                                entered(100, "a"),
                                entered(200, "a"),
                                accepted(210, "a", 1),
                                applied(230, "e", 1),
                                applied(290, "w", 1)));
        assertEquals(all.everywhere(0), new InForce.Spread(1, 90, 90, 90));
        assertEquals(all.each(0), new InForce.Spread(2, 30, 90, 90));
        assertEquals(all.everywhere(201).count(), 0);
        assertEquals(all.missing(), List.of());
    }

    @Test
    public void aLaterRevisionStandsForTheEarlierOne() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                entered(100, "a"),
                                accepted(110, "a", 1),
                                entered(120, "b"),
                                accepted(130, "b", 2),
                                applied(150, "e", 2)));
        assertEquals(all.spreadByRevision(0).get(1L).largest(), 50.0);
        assertEquals(all.spreadByRevision(0).get(2L).largest(), 30.0);
    }

    @Test
    public void aCutRegionCountsFromTheJoin() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                WEST,
                                at(100, Events.CUT, Events.REGION, "west"),
                                entered(200, "a"),
                                accepted(210, "a", 1),
                                applied(240, "e", 1),
                                at(5000, Events.JOINED, Events.REGION, "west"),
                                applied(5700, "w", 1)));
        assertEquals(all.each(0), new InForce.Spread(2, 40, 700, 700));
    }

    @Test
    public void whoIsInTheOtherRegionDoesNotCountFromTheJoin() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                at(100, Events.CUT, Events.REGION, "west"),
                                entered(200, "a"),
                                accepted(210, "a", 1),
                                at(5000, Events.JOINED, Events.REGION, "west"),
                                applied(5700, "e", 1)));
        assertEquals(all.everywhere(0).largest(), 5500.0);
    }

    @Test
    public void whoNeverHoldsItIsMissing() {
        InForce all = InForce.of(of(EAST, entered(100, "a"), accepted(110, "a", 1)));
        assertEquals(all.missing(), List.of("e at revision 1"));
    }

    @Test
    public void whoStoppedOrRefusedIsNotMissing() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                WEST,
                                entered(100, "a"),
                                accepted(110, "a", 1),
                                stopped(120, "e"),
                                notApplied(120, "w", 1)));
        assertEquals(all.missing(), List.of());
        assertEquals(all.everywhere(0).count(), 0);
    }

    @Test
    public void aRestartCountsUntilTheNewestIsHeld() {
        InForce all =
                InForce.of(
                        of(
                                EAST,
                                entered(100, "a"),
                                accepted(110, "a", 1),
                                applied(120, "e", 1),
                                stopped(200, "e"),
                                entered(300, "b"),
                                accepted(310, "b", 2),
                                started(400, "e", "east", Events.DISK_KEPT),
                                applied(401, "e", 1),
                                applied(460, "e", 2),
                                entered(500, "c"),
                                accepted(510, "c", 3),
                                applied(520, "e", 3)));
        assertEquals(all.restarts(), new InForce.Spread(1, 60, 60, 60));
    }
}
