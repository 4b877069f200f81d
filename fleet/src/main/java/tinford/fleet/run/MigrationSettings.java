package tinford.fleet.run;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.api.Idempotency;
import tinford.api.RequestClass;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationPlanReader;
import tinford.fleet.migration.PlanErrors;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;

/**
 * What the operator file says of moves, held against the gateway's own settings.
 *
 * @param homes where each frontend that may ever move lived first; the same at all gateways for as
 *     long as the log lasts
 * @param plan what {@code begin} begins, or null
 * @param coldTime ms after its start until a server counts as warm
 */
record MigrationSettings(Map<String, String> homes, MigrationPlan plan, double coldTime) {
    /** Null where moves are off. */
    static MigrationSettings read(String file, OperatorFile operatorFile, String config)
            throws InvalidOperatorFileException, IOException {
        if (!operatorFile.on("moves.on")) {
            return null;
        }
        try {
            JsonFields set =
                    JsonFields.of(
                                    new JsonFactory(),
                                    "configuration",
                                    Files.readString(Path.of(config)))
                            .object("settings");
            JsonFields rules = set.object("Rules");
            return of(
                    file,
                    operatorFile,
                    SettingsReader.requestClasses(set),
                    rules.number("ColdFrom"),
                    rules.millis("ColdUs"));
        } catch (InvalidSettingsException e) {
            throw new IOException(e.getMessage());
        }
    }

    static MigrationSettings of(
            String file,
            OperatorFile operatorFile,
            Map<String, RequestClass> frontends,
            double coldFrom,
            double coldTime)
            throws InvalidOperatorFileException {
        List<String> faults = new ArrayList<>();
        Map<String, String> homes = new TreeMap<>();
        Map<String, RequestClass> may = new HashMap<>();
        double window = 0;
        for (String home : operatorFile.texts("moves.homes")) {
            String[] pair = home.split("=", 2);
            RequestClass f = frontends.get(pair[0]);
            if (f == null
                    || pair.length < 2
                    || pair[1].isBlank()
                    || homes.put(pair[0], pair[1]) != null) {
                faults.add(
                        file
                                + ": moves.homes: expected frontend=group, each of the settings'"
                                + " frontends once, not "
                                + home);
            } else {
                may.put(f.name, f);
                window =
                        Math.max(
                                window,
                                f.idempotency == Idempotency.IDEMPOTENCY_KEY
                                        ? f.deduplicationWindowMs + f.timeoutMs
                                        : 0);
            }
        }
        if (operatorFile.number("log.linger_ms") < window) {
            // guards against an incarnation that is forgotten while what it sent may still be
            // repeated
            faults.add(
                    file
                            + ": log.linger_ms: expected "
                            + Math.round(window)
                            + " or more: repeat window and client timeout of what may move");
        }
        Map<String, MigrationPlan.GroupCapacity> rooms = new TreeMap<>();
        for (String room : operatorFile.texts("moves.rooms")) {
            String[] parts = room.split("[=,]");
            try {
                rooms.put(
                        parts[0],
                        new MigrationPlan.GroupCapacity(
                                Double.parseDouble(parts[1]),
                                Integer.parseInt(parts[2].strip()),
                                coldFrom));
            } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
                faults.add(
                        file
                                + ": moves.rooms: expected group=units a second,connections, not "
                                + room);
            }
        }
        MigrationPlan plan =
                operatorFile.text("moves.plan").isEmpty()
                        ? null
                        : plan(operatorFile.text("moves.plan"), may, homes, rooms, faults);
        if (!faults.isEmpty()) {
            throw new InvalidOperatorFileException(faults);
        }
        return new MigrationSettings(homes, plan, coldTime);
    }

    private static MigrationPlan plan(
            String path,
            Map<String, RequestClass> may,
            Map<String, String> homes,
            Map<String, MigrationPlan.GroupCapacity> rooms,
            List<String> faults) {
        Map<String, String> now = new HashMap<>(homes);
        try {
            String text = Files.readString(Path.of(path));
            // after an earlier plan a frontend is elsewhere; where it is now only the log knows,
            // and it refuses what starts elsewhere
            new TomlMapper()
                    .readTree(text)
                    .path("frontends")
                    .forEach(f -> now.replace(f.path("name").asText(), f.path("from").asText()));
            return new MigrationPlanReader(new MigrationPlan.ValidationContext(may, now, rooms))
                    .read(path, text);
        } catch (PlanErrors.InvalidPlanException e) {
            faults.addAll(e.errors());
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            faults.add(path + ": expected TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            faults.add(path + ": moves.plan: expected a file that can be read");
        }
        return null;
    }
}
