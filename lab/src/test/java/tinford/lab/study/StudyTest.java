package tinford.lab.study;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.decision.DecisionEngine;
import tinford.lab.LabLine;
import tinford.lab.Scenarios;
import tinford.lab.model.RunResult;
import tinford.lab.scenario.Scenario;

/** Studies: intervals, verdicts, files, and what is said of bad input. */
public class StudyTest {
    /** Of a hundred studies of chance alone, about five intervals miss the truth. */
    @Test
    public void intervalsHoldAsOftenAsTheySay() {
        UniformRandomProvider chance = RandomSource.XO_SHI_RO_256_PP.create(5);
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(chance);
        int missed = 0;
        for (int i = 0; i < 2000; i++) {
            double[] v = new double[6];
            for (int k = 0; k < v.length; k++) {
                v[k] = 3 + 2 * normal.sample();
            }
            missed += Study.mean(v, 0.95).holds(3) ? 0 : 1;
        }
        assertTrue(missed > 70 && missed < 130, missed + " of 2000");
    }

    @Test
    public void threadsChangeNothing() throws Exception {
        Scenario s = Scenarios.small(0, "");
        List<RunResult> one = new Study(s, 1).run(DecisionEngine::new, 1, 6);
        List<RunResult> four = new Study(s, 4).run(DecisionEngine::new, 1, 6);
        for (int i = 0; i < 6; i++) {
            assertEquals(one.get(i).figures(), four.get(i).figures());
        }
    }

    /**
     * One that denies every fourth request is known to be worse; a version is no better than
     * itself.
     */
    @Test
    public void aKnownDifferenceIsRanked() throws Exception {
        Study study = new Study(Scenarios.small(0, ""), 4);
        List<RunResult> good = study.run(DecisionEngine::new, 1, 8);
        List<RunResult> bad =
                study.run(
                        (seed, place, limits, rules, counter, goal, mustAsk) -> {
                            DecisionEngine inner =
                                    new DecisionEngine(
                                            seed, place, limits, rules, counter, goal, mustAsk);
                            return (now, feed, out) ->
                                    inner.handleBatch(
                                            now,
                                            in ->
                                                    feed.replay(
                                                            (GatewayEvents)
                                                                    java.lang.reflect.Proxy
                                                                            .newProxyInstance(
                                                                                    StudyTest.class
                                                                                            .getClassLoader(),
                                                                                    new Class<?>[] {
                                                                                        GatewayEvents
                                                                                                .class
                                                                                    },
                                                                                    (p,
                                                                                            m,
                                                                                            args) -> {
                                                                                        if (m.getName()
                                                                                                        .equals(
                                                                                                                "requestArrived")
                                                                                                && ((Request)
                                                                                                                                args[
                                                                                                                                        0])
                                                                                                                        .id
                                                                                                                % 4
                                                                                                        == 0) {
                                                                                            ((GatewayActions)
                                                                                                            out)
                                                                                                    .reject(
                                                                                                            (Request)
                                                                                                                    args[
                                                                                                                            0],
                                                                                                            0);
                                                                                            return null;
                                                                                        }
                                                                                        if (m.getName()
                                                                                                        .equals(
                                                                                                                "clientDisconnected")
                                                                                                && ((Request)
                                                                                                                                args[
                                                                                                                                        0])
                                                                                                                        .id
                                                                                                                % 4
                                                                                                        == 0) {
                                                                                            return null;
                                                                                        }
                                                                                        return m
                                                                                                .invoke(
                                                                                                        in,
                                                                                                        args);
                                                                                    })),
                                            out);
                        },
                        1,
                        8);
        assertEquals(Study.compare(good, bad, "service", 0.95).verdict(), Study.Verdict.WORSE);
        assertEquals(Study.compare(bad, good, "service", 0.95).verdict(), Study.Verdict.BETTER);
        assertEquals(
                Study.compare(good, study.run(DecisionEngine::new, 1, 8), "service", 0.95)
                        .verdict(),
                Study.Verdict.CANT_TELL);
        expectThrows(
                IllegalArgumentException.class,
                () -> Study.compare(good, study.run(DecisionEngine::new, 2, 8), "service", 0.95));
    }

    @DataProvider
    public Object[][] wrong() {
        return new Object[][] {
            {"length_s = 10", "length_s = 10\nlength = 10", "length: expected no such key"},
            {"length_s = 10", "", "length_s: expected a value; there is none"},
            {"length_s = 10", "length_s = -1", "length_s: expected a number above 0"},
            {"tick = 4", "tick = \"soon\"", "tick: "},
            {"count = 6\n", "", "servers.count: "},
            {
                "target = 800",
                "target = 2400",
                "frontends.f.timeout: expected one and a half of the target"
            },
            {"spread = 2", "spread = 3", "clients.spread: expected a number from 1.0 to 2.0"},
            {"use = 0.6", "use = -0.6", "clients.use: expected a number above 0"},
            {"largest = 2", "largest = 20", "plans.p.burst: expected the largest req"},
            {"dist = \"EXPONENTIAL\"", "dist = \"UNIFORM\"", "frontends[0].dist: "},
            {"faults = []", "faults = [", "expected TOML"},
            {
                "faults = []",
                "[[faults]]\nkind = \"SERVERS_DIE\"\nat_s = 1\nfor_s = 1\npart = 0\nsize = 0",
                "faults[0].part: expected some part of the nodes"
            },
            {
                "faults = []",
                "[[faults]]\nkind = \"SERVERS_DIE\"\nat_s = 99\nfor_s = 1\npart = 1\nsize = 0",
                "faults[0].at_s: expected a number from 0.0 to 10.0"
            },
            {
                "faults = []",
                "[[faults]]\nkind = \"FIRE\"\nat_s = 1\nfor_s = 1\npart = 1\nsize = 0",
                "faults[0].kind: "
            },
        };
    }

    /** File, key and what was expected; exit code 3, and no result is left behind. */
    @Test(dataProvider = "wrong")
    public void badScenariosAreNamed(String part, String instead, String told) throws Exception {
        String text = Scenarios.text(0, "", Idempotency.IDEMPOTENT);
        assertTrue(text.contains(part));
        text = text.replace(part, instead);
        if (instead.startsWith("[[faults]]")) {
            text = text.replace(instead, "") + instead + "\n";
        }
        Path file = Files.createTempFile("scenario", ".toml");
        Path csv = file.resolveSibling(file.getFileName() + ".csv");
        Files.writeString(file, text);
        StringWriter err = new StringWriter();
        int code =
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .execute("run", file.toString(), "--runs", "1", "--csv", csv.toString());
        assertEquals(code, 3, err.toString());
        assertTrue(
                err.toString().contains(file + ": ") && err.toString().contains(told),
                err.toString());
        assertFalse(Files.exists(csv));
        Files.delete(file);
    }

    @Test
    public void otherVersionsComeFromTheirJars() throws Exception {
        Path scenario = Files.createTempFile("scenario", ".toml");
        Files.writeString(scenario, Scenarios.text(0, "", Idempotency.IDEMPOTENT));
        Path jar = Files.createTempFile("module", ".jar");
        try (var out = new java.util.jar.JarOutputStream(Files.newOutputStream(jar))) {
            for (Class<?> c : all(DecisionEngine.class)) {
                String name = c.getName().replace('.', '/') + ".class";
                out.putNextEntry(new java.util.zip.ZipEntry(name));
                out.write(
                        DecisionEngine.class
                                .getClassLoader()
                                .getResourceAsStream(name)
                                .readAllBytes());
            }
        }
        Path csv = Files.createTempFile("runs", ".csv");
        StringWriter said = new StringWriter();
        CommandLine line = LabLine.of().setOut(new PrintWriter(said));
        assertEquals(
                line.execute(
                        "compare",
                        scenario.toString(),
                        "--runs",
                        "3",
                        "--second",
                        jar.toString(),
                        "--csv",
                        csv.toString()),
                0);
        assertTrue(said.toString().contains("can't tell"), said.toString());
        assertEquals(Files.readAllLines(csv).size(), 7);
        Files.write(jar, new byte[] {1, 2, 3});
        StringWriter err = new StringWriter();
        assertEquals(
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .execute("run", scenario.toString(), "--jar", jar.toString()),
                3);
        assertTrue(
                err.toString().contains("expected tinford.decision.DecisionEngine in it"),
                err.toString());
        assertEquals(
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .execute("run", scenario.toString(), "--runs", "0"),
                2);
        for (Path p : List.of(scenario, jar, csv)) {
            Files.delete(p);
        }
    }

    /** A build from before the renames is told as such, not as some broken file. */
    @Test
    public void anEarlierInterfaceIsToldFromAMissingModule() throws Exception {
        Path scenario = Files.createTempFile("scenario", ".toml");
        Files.writeString(scenario, Scenarios.text(0, "", Idempotency.IDEMPOTENT));
        Path jar = Files.createTempFile("earlier", ".jar");
        try (var out = new java.util.zip.ZipOutputStream(Files.newOutputStream(jar))) {
            out.putNextEntry(new java.util.zip.ZipEntry("tinford/Decide.class"));
        }
        StringWriter err = new StringWriter();
        int exitCode =
                LabLine.of()
                        .setErr(new PrintWriter(err))
                        .execute("run", scenario.toString(), "--jar", jar.toString());
        assertEquals(exitCode, 3);
        assertTrue(err.toString().contains("not tinford.Decide"), err.toString());
        for (Path file : List.of(scenario, jar)) {
            Files.delete(file);
        }
    }

    private static List<Class<?>> all(Class<?> top) throws Exception {
        List<Class<?>> found = new java.util.ArrayList<>();
        Path at = Path.of(top.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (Files.isDirectory(at)) {
            try (var files = Files.list(at.resolve("tinford").resolve("decision"))) {
                for (Path p :
                        files.filter(f -> f.getFileName().toString().endsWith(".class")).toList()) {
                    found.add(
                            Class.forName(
                                    "tinford.decision."
                                            + p.getFileName().toString().replace(".class", "")));
                }
            }
        } else {
            try (var jar = new java.util.jar.JarFile(at.toFile())) {
                for (var e : java.util.Collections.list(jar.entries())) {
                    if (e.getName().matches("tinford/decision/[^/]+\\.class")) {
                        found.add(
                                Class.forName(e.getName().replace('/', '.').replace(".class", "")));
                    }
                }
            }
        }
        return found;
    }
}
