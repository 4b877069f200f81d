package tinford.lab.study;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.imageio.ImageIO;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Idempotency;
import tinford.decision.DecisionEngine;
import tinford.lab.LabLine;
import tinford.lab.Scenarios;
import tinford.lab.model.RunResult;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;

/** Recorded traffic, values set from outside, sweeps and their plots. */
public class TraceTest {
    private Path folder;

    @BeforeMethod
    public void prepare() throws Exception {
        folder = Files.createTempDirectory("lab");
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        try (var files = Files.list(folder)) {
            for (Path p : files.toList()) {
                Files.delete(p);
            }
        }
        Files.delete(folder);
    }

    /**
     * What was recorded is asked for again, request by request, at any rate; and what is written is
     * what is read.
     */
    @Test
    public void aReplayAsksWhatWasAsked() throws Exception {
        Scenario s = Scenarios.small(0, "");
        Simulation first = new Simulation(s, 4, DecisionEngine::new);
        RunResult drawn = first.run();
        Trace trace = first.asked();
        Path file = folder.resolve("t");
        trace.write(file);
        assertEquals(Trace.read(file, s), trace);
        for (double rate : new double[] {1, 4}) {
            Simulation again = new Simulation(s, 99, DecisionEngine::new, trace.atRate(rate));
            RunResult o = again.run();
            assertTrue(o.conserved());
            assertEquals(o.broken(), List.of());
            assertEquals(again.asked().asks().size(), trace.asks().size());
            for (int i = 0; i < trace.asks().size(); i++) {
                Trace.Ask a = trace.asks().get(i);
                Trace.Ask b = again.asked().asks().get(i);
                assertEquals(b.at(), a.at() / rate, 1e-3);
                assertEquals(
                        List.of(b.customer(), b.plan(), b.frontend(), b.units(), b.way()),
                        List.of(a.customer(), a.plan(), a.frontend(), a.units(), a.way()));
            }
            if (rate == 1) {
                assertEquals(
                        o.service(),
                        drawn.service(),
                        0.1,
                        "other work and gateways, the same traffic");
            }
        }
    }

    @DataProvider
    public Object[][] badTraces() {
        String good = "tinford-trace 1\n1.5,7,p,f,1,0\n2,8,p,f,2,1\nend 2\n";
        return new Object[][] {
            {
                good.replace("trace 1", "trace 2"),
                "line 1: expected tinford-trace 1, not tinford-trace 2"
            },
            {"", "line 1: expected tinford-trace 1, not nothing"},
            {good.replace("end 2\n", ""), "expected end 2 as its last line: it was cut off"},
            {good.replace("end 2", "end 3"), "line 4: expected end 2 and nothing behind it"},
            {good + "3,8,p,f,2,1\n", "line 4: expected end 2 and nothing behind it"},
            {good.replace("2,8,p", "1,8,p"), "line 3: ms: expected 1.5 or later"},
            {
                good.replace("7,p,f,1,0", "7,p,f,1"),
                "line 2: expected ms,customer,plan,frontend,units,way"
            },
            {good.replace("8,p,f", "8,q,f"), "line 3: plan: expected one of [p], not q"},
            {good.replace("8,p,f", "8,p,g"), "line 3: frontend: expected one of [f], not g"},
            {good.replace("f,2,1", "f,-2,1"), "line 3: units: expected a number from"},
            {good.replace("f,2,1", "f,NaN,1"), "line 3: units: expected a number from"},
            {good.replace("f,2,1", "f,2,9"), "line 3: way: expected a number from"},
            {"\u00ff\u00fe\u0000", "expected text"},
        };
    }

    @Test(dataProvider = "badTraces")
    public void badTracesAreNamed(String text, String told) throws Exception {
        Path file = folder.resolve("t");
        Files.write(file, text.getBytes(StandardCharsets.ISO_8859_1));
        Scenario.Bad e =
                expectThrows(Scenario.Bad.class, () -> Trace.read(file, Scenarios.small(0, "")));
        assertTrue(
                e.getMessage().startsWith(file + ": ") && e.getMessage().contains(told),
                e.getMessage());
    }

    @DataProvider
    public Object[][] settings() {
        return new Object[][] {
            {"servers.count=3", 0, ""},
            {"plans.p.rate=2.5", 0, ""},
            {"frontends.0.work=20", 0, ""},
            {"frontends.f.dist=CONSTANT", 0, ""},
            {"servers.size=3", 3, "servers.size: expected a key that the scenario has"},
            {"plans.q.rate=3", 3, "plans.q.rate: expected a key that the scenario has"},
            {"plans=3", 3, "plans: expected a key that the scenario has"},
            {"servers.count=many", 3, "servers.count: expected a number, not many"},
            {"servers.count=-1", 3, "servers.count: expected a number from 1.0"},
            {"frontends.f.dist=UNIFORM", 3, "frontends[0].dist: "},
        };
    }

    @Test(dataProvider = "settings")
    public void valuesAreSetFromOutside(String set, int code, String told) throws Exception {
        Path file = folder.resolve("s.toml");
        Files.writeString(file, Scenarios.text(0, "", Idempotency.IDEMPOTENT));
        StringWriter err = new StringWriter();
        assertEquals(
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .setOut(new PrintWriter(new StringWriter()))
                        .execute("run", file.toString(), "--runs", "1", "--set", set),
                code,
                err.toString());
        assertTrue(err.toString().contains(told), err.toString());
    }

    /**
     * A table line for each value, a plot that is a picture with more than its ground, and nothing
     * where a value is wrong.
     */
    @Test
    public void aSweepIsToldAndPlotted() throws Exception {
        Path file = folder.resolve("s.toml");
        Path plot = folder.resolve("p.png");
        Files.writeString(file, Scenarios.text(0, "", Idempotency.IDEMPOTENT));
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        String[] words = {
            "sweep",
            file.toString(),
            "--key",
            "servers.count",
            "--values",
            "2,4,wrong",
            "--runs",
            "3",
            "--plot",
            plot.toString()
        };
        assertEquals(
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .setOut(new PrintWriter(out))
                        .execute(words),
                3);
        assertEquals(out.toString(), "");
        assertFalse(Files.exists(plot));
        words[5] = "2,4,8";
        assertEquals(
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .setOut(new PrintWriter(out))
                        .execute(words),
                0,
                err.toString());
        assertEquals(out.toString().lines().count(), 3);
        var picture = ImageIO.read(plot.toFile());
        long drawn = 0;
        for (int x = 0; x < picture.getWidth(); x++) {
            for (int y = 0; y < picture.getHeight(); y++) {
                int c = picture.getRGB(x, y) & 0xffffff;
                int red = c >> 16;
                drawn += red > 200 && (c & 0xff) < 120 ? 1 : 0; // the line and its marks
            }
        }
        assertTrue(drawn > 100, drawn + " pixels of a line");
        double few = service(out.toString(), 0);
        double many = service(out.toString(), 2);
        assertTrue(many > few + 0.1, "eight servers do more than two: " + out);
    }

    private static double service(String out, int line) {
        return Double.parseDouble(
                out.lines().toList().get(line).split("service ")[1].trim().split(" ")[0]);
    }
}
