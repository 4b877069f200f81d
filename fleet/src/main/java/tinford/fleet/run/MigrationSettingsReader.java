package tinford.fleet.run;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
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
 * Reads the operator file's table {@code [moves]} and the plan that it names, and checks them
 * against the gateway's own settings. All errors are reported at once.
 */
final class MigrationSettingsReader {
    private final String file;
    private final OperatorFile operatorFile;
    private final Map<String, RequestClass> frontends;
    private final double coldShare;
    private final double warmUpMs;
    private final List<String> errors = new ArrayList<>();
    private final Map<String, String> homeGroups = new TreeMap<>();
    private final Map<String, RequestClass> migratable = new HashMap<>();

    private MigrationSettingsReader(
            String file,
            OperatorFile operatorFile,
            Map<String, RequestClass> frontends,
            double coldShare,
            double warmUpMs) {
        this.file = file;
        this.operatorFile = operatorFile;
        this.frontends = frontends;
        this.coldShare = coldShare;
        this.warmUpMs = warmUpMs;
    }

    /**
     * Returns null where migrations are off.
     *
     * @param file the operator file's path, for error texts
     * @param gatewayConfiguration path of the gateway's own configuration
     */
    static MigrationSettings read(
            String file, OperatorFile operatorFile, String gatewayConfiguration)
            throws InvalidOperatorFileException, IOException {
        if (!operatorFile.flag("moves.on")) {
            return null;
        }
        try {
            JsonFields settings =
                    JsonFields.of(
                                    new JsonFactory(),
                                    "configuration",
                                    Files.readString(Path.of(gatewayConfiguration)))
                            .object("settings");
            JsonFields rules = settings.object("Rules");
            return read(
                    file,
                    operatorFile,
                    SettingsReader.requestClasses(settings),
                    rules.number("ColdFrom"),
                    rules.millis("ColdUs"));
        } catch (InvalidSettingsException e) {
            throw new IOException(e.getMessage());
        }
    }

    /**
     * @param frontends of the gateway's settings, by name
     * @param coldShare part of its capacity that a cold server has
     * @param warmUpMs from a server's start until it counts as warm
     */
    static MigrationSettings read(
            String file,
            OperatorFile operatorFile,
            Map<String, RequestClass> frontends,
            double coldShare,
            double warmUpMs)
            throws InvalidOperatorFileException {
        return new MigrationSettingsReader(file, operatorFile, frontends, coldShare, warmUpMs)
                .read();
    }

    private MigrationSettings read() throws InvalidOperatorFileException {
        operatorFile.texts("moves.homes").forEach(this::readHomeGroup);
        checkLinger();
        Map<String, MigrationPlan.GroupCapacity> capacities = new TreeMap<>();
        operatorFile.texts("moves.rooms").forEach(text -> readCapacity(text, capacities));
        String planFile = operatorFile.text("moves.plan");
        MigrationPlan plan = planFile.isEmpty() ? null : readPlan(planFile, capacities);
        if (!errors.isEmpty()) {
            throw new InvalidOperatorFileException(errors);
        }
        return new MigrationSettings(homeGroups, plan, warmUpMs);
    }

    private void readHomeGroup(String text) {
        String[] parts = text.split("=", 2);
        RequestClass frontend = frontends.get(parts[0]);
        if (frontend == null
                || parts.length < 2
                || parts[1].isBlank()
                || homeGroups.put(parts[0], parts[1]) != null) {
            errors.add(
                    file
                            + ": moves.homes: expected frontend=group, each of the settings'"
                            + " frontends once, not "
                            + text);
        } else {
            migratable.put(frontend.name, frontend);
        }
    }

    /** An incarnation must not be forgotten while a request that it sent may still be repeated. */
    private void checkLinger() {
        double repeatMs = 0;
        for (RequestClass frontend : migratable.values()) {
            if (frontend.idempotency == Idempotency.IDEMPOTENCY_KEY) {
                repeatMs = Math.max(repeatMs, frontend.deduplicationWindowMs + frontend.timeoutMs);
            }
        }
        if (operatorFile.number("log.linger_ms") < repeatMs) {
            errors.add(
                    file
                            + ": log.linger_ms: expected "
                            + Math.round(repeatMs)
                            + " or more: repeat window and client timeout of what may move");
        }
    }

    private void readCapacity(String text, Map<String, MigrationPlan.GroupCapacity> capacities) {
        String[] parts = text.split("[=,]");
        try {
            double unitsPerSecond = Double.parseDouble(parts[1]);
            int connections = Integer.parseInt(parts[2].strip());
            capacities.put(
                    parts[0],
                    new MigrationPlan.GroupCapacity(unitsPerSecond, connections, coldShare));
        } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
            errors.add(
                    file + ": moves.rooms: expected group=units a second,connections, not " + text);
        }
    }

    /** Returns null, with errors added, where the plan can't be used. */
    private MigrationPlan readPlan(
            String planFile, Map<String, MigrationPlan.GroupCapacity> capacities) {
        try {
            String text = Files.readString(Path.of(planFile));
            MigrationPlan.ValidationContext context =
                    new MigrationPlan.ValidationContext(
                            migratable, presentGroups(text), capacities);
            return new MigrationPlanReader(context).read(planFile, text);
        } catch (PlanErrors.InvalidPlanException e) {
            errors.addAll(e.errors());
        } catch (JsonProcessingException e) {
            errors.add(planFile + ": expected TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            errors.add(planFile + ": moves.plan: expected a file that can be read");
        }
        return null;
    }

    /**
     * An earlier plan may have moved a frontend. Only the log knows where it is now, and rejects a
     * plan that starts elsewhere, so the plan's own source groups are accepted.
     */
    private Map<String, String> presentGroups(String planText) throws JsonProcessingException {
        Map<String, String> groups = new HashMap<>(homeGroups);
        new TomlMapper()
                .readTree(planText)
                .path("frontends")
                .forEach(
                        frontend ->
                                groups.replace(
                                        frontend.path("name").asText(),
                                        frontend.path("from").asText()));
        return groups;
    }
}
