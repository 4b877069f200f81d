package tinford.lab.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.lab.scenario.Scenario;

/** Histories made by hand: each breach is found, and its innocent neighbour is not. */
public class HistoryJudgeTest {
    private static History.Line at(double ms, String kind, Object... fields) {
        return History.of(ms, kind, fields);
    }

    private static List<History.Line> lines(Object... all) {
        List<History.Line> flat = new ArrayList<>();
        for (int g = 0; g < 3; g++) {
            flat.add(at(0, "ready", "who", g));
        }
        for (Object o : all) {
            if (o instanceof History.Line l) {
                flat.add(l);
            } else {
                ((List<?>) o).forEach(l -> flat.add((History.Line) l));
            }
        }
        return flat;
    }

    private static History.Line run(
            double ms, String request, String effect, String group, String server) {
        return at(
                ms,
                "dispatch",
                "req",
                request,
                "frontend",
                "f",
                "effect",
                effect,
                "group",
                group,
                "server",
                server,
                "window",
                3000,
                "further",
                false);
    }

    private static History.Line stage(double ms, int gateway, int stage, String... moved) {
        return at(ms, "stage", "gateway", gateway, "move", "m", "stage", stage, "moved", moved);
    }

    private static List<History.Line> many(
            int n, double from, double step, String kind, Object... fields) {
        List<History.Line> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(at(from + i * step, kind, fields));
        }
        return all;
    }

    private static List<History.Line> overload(int further) {
        List<History.Line> all = new ArrayList<>();
        all.add(at(0, "strained", "gateway", 0, "on", true));
        for (int i = 0; i < 200; i++) {
            all.add(
                    at(
                            1000 + 5 * i,
                            "dispatch",
                            "effect",
                            "IDEMPOTENT",
                            "further",
                            i % (200 / further) == 0));
        }
        return all;
    }

    @DataProvider
    public Object[][] histories() {
        History.Line asked = at(5, "asked", "req", "a", "via", 1, "timeout", 100);
        History.Line plan =
                at(1, "plan", "gateway", 0, "move", "m", "frontend", "f", "needs", List.of("d"));
        String u = "IDEMPOTENCY_KEY";
        return new Object[][] {
            {
                "connections",
                true,
                lines(
                        at(1, "offer", "server", "s", "offer", 1),
                        at(2, "opened", "server", "s", "held", 1, "from", 0),
                        at(3, "opened", "server", "s", "held", 2, "from", 1))
            },
            {
                "connections",
                false,
                lines(
                        at(1, "offer", "server", "s", "offer", 1),
                        at(2, "opened", "server", "s", "held", 1, "from", 0),
                        at(3, "closed", "server", "s", "held", 0, "from", 0),
                        at(4, "opened", "server", "s", "held", 1, "from", 1))
            },
            {"answers", true, lines(asked, at(200, "answered", "req", "a", "how", "nothing"))},
            {
                "answers",
                true,
                lines(
                        asked,
                        at(20, "answered", "req", "a", "how", "passed"),
                        at(30, "answered", "req", "a", "how", "denied"))
            },
            {"answers", true, lines(asked, at(20, "answered", "req", "a", "how", "strange"))},
            {"answers", true, lines(at(20, "answered", "req", "", "via", 1, "how", "again"))},
            {"answers", true, lines(at(20, "answered", "req", "b", "how", "passed"))},
            {
                "answers",
                false,
                lines(
                        asked,
                        at(9, "killed", "who", 1),
                        at(200, "answered", "req", "a", "how", "nothing"))
            },
            {
                "answers",
                false,
                lines(
                        asked,
                        at(9, "paused", "who", 1),
                        at(50, "continued", "who", 1),
                        at(200, "answered", "req", "a", "how", "nothing"))
            },
            {
                "answers",
                true,
                lines(
                        asked,
                        at(9, "killed", "who", 2),
                        at(200, "answered", "req", "a", "how", "nothing"))
            },
            {"runs", true, lines(run(5, "a", u, "1", "s"), run(50, "a", u, "2", "t"))},
            {"runs", true, lines(run(5, "a", u, "1", "s"), run(3006, "a", u, "1", "t"))},
            {
                "runs",
                false,
                lines(
                        run(5, "a", u, "1", "s"),
                        run(50, "a", u, "1", "t"),
                        run(60, "b", u, "2", "t"))
            },
            {
                "runs",
                false,
                lines(
                        run(5, "a", u, "1", "s"),
                        at(6, "ended", "req", "a", "server", "s", "how", "FULL"),
                        run(50, "a", u, "2", "t"))
            },
            {
                "runs",
                true,
                lines(
                        run(5, "a", u, "1", "s"),
                        at(6, "ended", "req", "a", "server", "s", "how", "BROKEN"),
                        run(50, "a", u, "2", "t"))
            },
            {
                "runs",
                true,
                lines(
                        run(5, "a", "NON_IDEMPOTENT", "1", "s"),
                        run(50, "a", "NON_IDEMPOTENT", "1", "t"))
            },
            {"stages", true, lines(stage(5, 0, 1), stage(6, 1, 1), stage(7, 0, 2), stage(8, 0, 3))},
            {
                "stages",
                false,
                lines(
                        stage(5, 0, 1),
                        stage(6, 1, 1),
                        stage(7, 0, 2),
                        stage(8, 1, 2),
                        stage(9, 0, 3))
            },
            {
                "stages",
                false,
                lines(stage(5, 1, 1), at(6, "killed", "who", 1), stage(7, 0, 2), stage(8, 0, 3))
            },
            {
                "stages",
                false,
                lines(
                        stage(5, 1, 1),
                        at(6, "term", "gateway", 1, "holds", false),
                        stage(7, 0, 3),
                        stage(8, 1, 1))
            },
            {
                "stages",
                true,
                lines(
                        stage(5, 1, 1),
                        at(6, "paused", "who", 1),
                        stage(7, 0, 3),
                        at(8, "continued", "who", 1),
                        stage(9, 1, 1))
            },
            {
                "stages",
                true,
                lines(plan, stage(5, 0, 1, "d"), stage(6, 1, 1), stage(7, 0, 2, "d", "f"))
            },
            {
                "stages",
                false,
                lines(plan, stage(5, 0, 1, "d"), stage(6, 1, 1, "d"), stage(7, 0, 2, "d", "f"))
            },
            {"further", true, lines(overload(50))},
            {"further", false, lines(overload(10))},
            {"further", false, lines(overload(50).subList(1, 201))},
            {
                "tries",
                true,
                lines(
                        at(0, "ill", "server", "s"),
                        many(6, 2500, 10, "dispatch", "server", "s", "effect", "IDEMPOTENT"))
            },
            {
                "tries",
                true,
                lines(at(0, "ill", "server", "s"), many(6, 2500, 10, "try", "server", "s"))
            },
            {
                "tries",
                false,
                lines(at(0, "ill", "server", "s"), many(6, 2500, 300, "try", "server", "s"))
            },
            {
                "tries",
                false,
                lines(at(0, "ill", "server", "s"), many(6, 500, 10, "try", "server", "s"))
            },
            {
                "tries",
                false,
                lines(
                        at(0, "ill", "server", "s"),
                        at(2400, "well", "server", "s"),
                        many(6, 2500, 10, "try", "server", "s"))
            },
        };
    }

    @Test(dataProvider = "histories")
    public void breachesAreFound(String promise, boolean broken, List<History.Line> history)
            throws Exception {
        HistoryJudge judge =
                HistoryJudge.of(FleetScript.of("t", "scenario = \"x\"\nfurther = 0.1\ntries = 5"));
        history.forEach(judge::see);
        assertEquals(
                judge.counts().keySet(),
                broken ? java.util.Set.of(promise) : java.util.Set.of(),
                judge.breaches().toString());
        if (broken) {
            HistoryJudge.Breach first = judge.breaches().get(0);
            assertTrue(
                    first.lines().size() <= history.size()
                            && first.story(0).contains(first.lines().get(0).kind()),
                    first.story(0));
        }
    }

    /**
     * What was written is read, across processes in the order of time; half a line at the end of a
     * file is left out, elsewhere it is told.
     */
    @Test
    public void historiesAreRead() throws Exception {
        Path a = Files.createTempFile("history", ".jsonl");
        Path b = Files.createTempFile("history", ".jsonl");
        try {
            try (History h = new History(a)) {
                h.tell("opened", "server", "s", "held", 2);
            }
            Files.writeString(
                    b,
                    "{\"at\":-5,\"wall\":1,\"gateway\":3,\"life\":7,\"kind\":\"stage\",\"stage\":2}\n"
                        + "{\"at\":9,\"ki");
            List<History.Line> all = History.read(List.of(a, b, a.resolveSibling("none")));
            assertEquals(all.stream().map(History.Line::kind).toList(), List.of("stage", "opened"));
            assertEquals(
                    all.get(0).gateway()
                            + " "
                            + all.get(0).life()
                            + " "
                            + all.get(0).number("stage"),
                    "3 7 2");
            for (String bad :
                    new String[] {
                        "{\"at\":9,\"ki\n{}\n", "[]\n", "{\"at\":\"x\",\"kind\":\"y\"}\n"
                    }) {
                Files.writeString(b, bad);
                String told = "";
                try {
                    History.read(List.of(b));
                } catch (java.io.IOException e) {
                    told = e.getMessage();
                }
                assertTrue(told.contains("line 1: expected"), bad + told);
            }
        } finally {
            Files.delete(a);
            Files.delete(b);
        }
    }

    @DataProvider
    public Object[][] scripts() {
        return new Object[][] {
            {"", "scenario: expected"},
            {"scenario = 'x'\nwhere = 1", "where: expected"},
            {"scenario = ", "line 1: expected"},
            {"kind = 'SUN'", "kind: expected"},
            {"kind = 'LINK_CUT'\nat_s = 99", "at_s: expected"},
            {"at_s = 1", "kind: expected"},
            {"kind = 'LINK_CUT'\nwho = [7]", "who: expected"},
            {"kind = 'LINK_LOSSY'\nloss = 2", "loss"},
            {"kind = 'GATEWAY_PAUSED'", "who: expected"},
            {"kind = 'SERVERS_DIE'\nfor_s = 1", "part: expected"},
            {"kind = 'SERVERS_DIE'\npart = 1", "for_s: expected"},
        };
    }

    /** A script that can't be read is refused in one line that says where. */
    @Test(dataProvider = "scripts")
    public void badScriptsAreRefused(String text, String told) {
        String whole =
                text.isEmpty() || text.startsWith("scenario")
                        ? text
                        : "scenario = 'x'\n[[faults]]\n" + text;
        String said = "";
        try {
            FleetScript.of("s", whole).check("s", 10, 5);
        } catch (Scenario.Bad e) {
            said = e.getMessage();
        }
        assertTrue(said.startsWith("s: ") && said.contains(told) && !said.contains("\n"), said);
    }
}
