package tinford.lab.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Recorded traffic: what clients asked for first, in the order of time. A text file; the first line
 * is its form and version, the last one counts the others, so that a file cut off is seen.
 */
public record Trace(List<Ask> asks) {
    private static final String HEAD = "tinford-trace 1";
    private static final int MOST = 20_000_000;

    /**
     * @param at milliseconds from the start; {@code customer} any number; {@code way} which of its
     *     gateways
     */
    public record Ask(
            double at, long customer, String plan, String frontend, double units, int way) {}

    public static Trace read(Path file, Scenario scenario) throws Scenario.Bad {
        Set<String> plans = new HashSet<>();
        scenario.plans().forEach(p -> plans.add(p.name()));
        Set<String> frontends = new HashSet<>();
        scenario.frontends().forEach(f -> frontends.add(f.name()));
        List<Ask> asks = new ArrayList<>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            String line = in.readLine();
            if (!HEAD.equals(line)) {
                throw new Scenario.Bad(
                        file
                                + ": line 1: expected "
                                + HEAD
                                + ", not "
                                + (line == null ? "nothing" : cut(line)));
            }
            for (int no = 2; (line = in.readLine()) != null; no++) {
                String at = file + ": line " + no + ": ";
                if (line.startsWith("end ")) {
                    if (!line.equals("end " + asks.size()) || in.readLine() != null) {
                        throw new Scenario.Bad(
                                at + "expected end " + asks.size() + " and nothing behind it");
                    }
                    return new Trace(List.copyOf(asks));
                }
                String[] w = line.split(",", -1);
                if (w.length != 6) {
                    throw new Scenario.Bad(
                            at + "expected ms,customer,plan,frontend,units,way, not " + cut(line));
                }
                if (asks.size() >= MOST) {
                    throw new Scenario.Bad(at + "expected at most " + MOST + " reqs");
                }
                Ask a =
                        new Ask(
                                number(at, "ms", w[0], 0, 1e12),
                                (long) number(at, "customer", w[1], 0, 1e15),
                                w[2],
                                w[3],
                                number(at, "units", w[4], 1e-6, scenario.clients().largest()),
                                (int) number(at, "way", w[5], 0, scenario.clients().spread() - 1));
                if (!plans.contains(a.plan)) {
                    throw new Scenario.Bad(
                            at + "plan: expected one of " + plans + ", not " + cut(a.plan));
                }
                if (!frontends.contains(a.frontend)) {
                    throw new Scenario.Bad(
                            at
                                    + "frontend: expected one of "
                                    + frontends
                                    + ", not "
                                    + cut(a.frontend));
                }
                if (!asks.isEmpty() && a.at < asks.get(asks.size() - 1).at) {
                    throw new Scenario.Bad(
                            at
                                    + "ms: expected "
                                    + asks.get(asks.size() - 1).at
                                    + " or later: reqs go in order of time");
                }
                asks.add(a);
            }
            throw new Scenario.Bad(
                    file + ": expected end " + asks.size() + " as its last line: it was cut off");
        } catch (CharacterCodingException e) {
            throw new Scenario.Bad(file + ": expected text");
        } catch (IOException e) {
            throw new Scenario.Bad(file + ": expected a file that can be read");
        }
    }

    private static double number(String at, String name, String text, double least, double most)
            throws Scenario.Bad {
        try {
            double v = Double.parseDouble(text);
            if (v >= least && v <= most) {
                return v;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new Scenario.Bad(
                at
                        + name
                        + ": expected a number from "
                        + least
                        + " to "
                        + most
                        + ", not "
                        + cut(text));
    }

    private static String cut(String s) {
        return s.length() > 60 ? s.substring(0, 60) + "..." : s;
    }

    public void write(Path to) throws IOException {
        Path part = to.resolveSibling(to.getFileName() + ".part");
        try (var out = Files.newBufferedWriter(part)) {
            out.write(HEAD + "\n");
            for (Ask a : asks) {
                out.write(
                        a.at
                                + ","
                                + a.customer
                                + ","
                                + a.plan
                                + ","
                                + a.frontend
                                + ","
                                + a.units
                                + ","
                                + a.way
                                + "\n");
            }
            out.write("end " + asks.size() + "\n");
        }
        Files.move(part, to, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** The same traffic at another rate: times as quick. */
    public Trace atRate(double times) {
        return new Trace(
                asks.stream()
                        .map(
                                a ->
                                        new Ask(
                                                a.at / times,
                                                a.customer,
                                                a.plan,
                                                a.frontend,
                                                a.units,
                                                a.way))
                        .toList());
    }

    public double length() {
        return asks.isEmpty() ? 0 : asks.get(asks.size() - 1).at;
    }
}
