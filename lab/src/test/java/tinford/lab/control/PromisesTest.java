package tinford.lab.control;

import static org.testng.Assert.assertEquals;
import static tinford.lab.control.Lines.accepted;
import static tinford.lab.control.Lines.applied;
import static tinford.lab.control.Lines.at;
import static tinford.lab.control.Lines.notApplied;
import static tinford.lab.control.Lines.of;
import static tinford.lab.control.Lines.reference;
import static tinford.lab.control.Lines.serverHolds;
import static tinford.lab.control.Lines.settled;
import static tinford.lab.control.Lines.started;
import static tinford.lab.control.Lines.stopped;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.lab.fleet.History;
import tinford.lab.fleet.HistoryJudge;

/** Histories made by hand: each breach is found, and its innocent neighbour is not. */
public class PromisesTest {
    private static final String RISE = "revisions rise";
    private static final String CONTENT = "one content";
    private static final String KEPT = "acknowledged kept";
    private static final History.Line STARTED = started(0, "f", "east", Events.DISK_LOST);

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {"a follower goes back", RISE, of(STARTED, applied(1, "f", 5), applied(2, "f", 4))},
            {
                "a follower goes back through a restart with its disk",
                RISE,
                of(
                        STARTED,
                        applied(1, "f", 5),
                        stopped(2, "f"),
                        started(3, "f", "east", Events.DISK_KEPT),
                        applied(4, "f", 4))
            },
            {
                "a follower without its disk begins anew",
                null,
                of(
                        STARTED,
                        applied(1, "f", 5),
                        stopped(2, "f"),
                        started(3, "f", "east", Events.DISK_LOST),
                        applied(4, "f", 4))
            },
            {
                "another follower is behind",
                null,
                of(STARTED, applied(1, "f", 5), applied(2, "g", 4), applied(3, "f", 6))
            },
            {
                "the same revision from the disk",
                null,
                of(
                        STARTED,
                        applied(1, "f", 5),
                        stopped(2, "f"),
                        started(3, "f", "east", Events.DISK_KEPT),
                        applied(4, "f", 5))
            },
            {
                "two contents at one revision",
                CONTENT,
                of(STARTED, applied(1, "f", 5, "whole"), applied(2, "g", 5, "mixed"))
            },
            {
                "both have what was not acknowledged",
                CONTENT,
                of(
                        applied(1, "f", 5, "mixed"),
                        applied(2, "g", 5, "mixed"),
                        reference(3, 5, "whole"))
            },
            {
                "a hash that lies about its entries",
                CONTENT,
                of(
                        applied(1, "f", 5, "whole"),
                        applied(1, "g", 5, "whole"),
                        at(2, Events.CONTENT, "follower", "f", "revision", 5, "digest", "a"),
                        at(3, Events.CONTENT, "follower", "g", "revision", 5, "digest", "b"))
            },
            {
                "another content at another revision",
                null,
                of(
                        applied(1, "f", 5, "before"),
                        applied(2, "g", 6, "after"),
                        reference(3, 5, "before"),
                        reference(4, 6, "after"))
            },
            {
                "a follower lacks what was acknowledged",
                KEPT,
                of(
                        STARTED,
                        accepted(1, "a", 1),
                        accepted(2, "b", 2),
                        applied(3, "f", 1),
                        settled(9))
            },
            {"a follower holds nothing", KEPT, of(STARTED, accepted(1, "a", 1), settled(9))},
            {
                "a follower holds nothing any more",
                KEPT,
                of(
                        STARTED,
                        accepted(1, "a", 1),
                        applied(2, "f", 1),
                        stopped(3, "f"),
                        started(4, "f", "east", Events.DISK_LOST),
                        settled(9))
            },
            {
                "a server lacks what was acknowledged",
                KEPT,
                of(accepted(1, "a", 1), accepted(2, "b", 2), serverHolds(3, "server-4", 1))
            },
            {
                "a server says nothing",
                KEPT,
                of(accepted(1, "a", 1), serverHolds(3, "server-4", -1))
            },
            {
                "a revision that nobody entered",
                KEPT,
                of(STARTED, accepted(1, "a", 1), applied(2, "f", 2), settled(9))
            },
            {
                "one revision for two change sets",
                KEPT,
                of(accepted(1, "a", 1), accepted(2, "b", 1))
            },
            {
                "two revisions for one change set",
                KEPT,
                of(accepted(1, "a", 1), accepted(2, "a", 2))
            },
            {
                "an acknowledgement that is repeated",
                null,
                of(accepted(1, "a", 1), accepted(2, "a", 1), serverHolds(3, "server-4", 1))
            },
            {
                "all hold the last one",
                null,
                of(
                        STARTED,
                        accepted(1, "a", 1),
                        applied(2, "f", 1),
                        serverHolds(3, "server-4", 1),
                        settled(9))
            },
            {
                "who is stopped needn't hold it",
                null,
                of(STARTED, accepted(1, "a", 1), stopped(2, "f"), settled(9))
            },
            {
                "who refuses it needn't hold it",
                null,
                of(
                        STARTED,
                        applied(1, "f", 1),
                        accepted(2, "b", 2),
                        notApplied(3, "f", 2),
                        settled(9))
            },
            {
                "who refused it once must hold what came after",
                KEPT,
                of(
                        STARTED,
                        accepted(1, "b", 2),
                        notApplied(2, "f", 2),
                        applied(3, "f", 3),
                        accepted(4, "c", 4),
                        settled(9))
            },
        };
    }

    @Test(dataProvider = "histories")
    public void breachesAreFound(String what, String promise, List<History.Line> lines) {
        HistoryJudge judge = ControlFigures.judgeOfPromises();
        lines.forEach(judge::see);
        assertEquals(judge.counts(), promise == null ? Map.of() : Map.of(promise, 1), what);
    }
}
