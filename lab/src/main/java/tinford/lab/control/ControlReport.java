package tinford.lab.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tinford.lab.fleet.TrafficMeter;

/** Writes what came of scenarios as CSV files. */
final class ControlReport {
    private static final double MEGABYTE = 1 << 20;

    private ControlReport() {}

    /** A line for each figure of a scenario, and for what was broken or missed. */
    static void summary(Path folder, ControlResult result) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("scenario,figure,value");
        String label = result.scenario().label();
        result.figures()
                .forEach(
                        (name, value) ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT, "%s,%s,%.6g", label, name, value)));
        lines.add(label + ",promises_broken," + result.broken().size());
        lines.add(label + ",limits_missed," + result.missed().size());
        Files.write(folder.resolve(label + ".csv"), lines);
    }

    /** Until each revision was in force: over followers. */
    static void inForce(Path folder, ControlRun run) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("revision,followers,median_s,p99_s,largest_s");
        ControlFigures.byRevision(run)
                .forEach(
                        (revision, spread) ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "%d,%d,%.4f,%.4f,%.4f",
                                                revision,
                                                spread.count(),
                                                spread.median() / 1000,
                                                spread.p99() / 1000,
                                                spread.largest() / 1000)));
        Files.write(folder.resolve(run.scenario().label() + "-in-force.csv"), lines);
    }

    /** What each process used. */
    static void resources(Path folder, ControlRun run) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("process,cores_mean,cores_worst_10s,megabytes_mean,megabytes_most");
        run.resources()
                .uses(run.began(), run.ended())
                .forEach(
                        (process, use) ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "%s,%.5f,%.5f,%.1f,%.1f",
                                                process,
                                                use.cores(),
                                                use.worstCores(),
                                                use.meanResident() / MEGABYTE,
                                                use.mostResident() / MEGABYTE)));
        Files.write(folder.resolve(run.scenario().label() + "-processes.csv"), lines);
    }

    /** What passed through each link that carried anything. */
    static void links(Path folder, ControlRun run) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("link,bytes_per_s,worst_second_bytes,worst_connection_bytes_in_10s");
        for (Map.Entry<String, TrafficMeter.Reading> link : run.links().readings().entrySet()) {
            TrafficMeter.Reading reading = link.getValue();
            if (reading.total() > 0) {
                long worst = java.util.Arrays.stream(reading.bySecond()).max().orElse(0);
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "%s,%.1f,%d,%d",
                                link.getKey(),
                                reading.total() / reading.seconds(),
                                worst,
                                reading.worstConnection()));
            }
        }
        Files.write(folder.resolve(run.scenario().label() + "-links.csv"), lines);
    }
}
