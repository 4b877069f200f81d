package tinford.fleet.run;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tinford.fleet.config.RecordChecks;
import tinford.fleet.settings.EndpointParser;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.fleet.settings.OperatorSettings;
import tinford.fleet.settings.SettingsSchema;

/**
 * The operator file of a fleet, checked as a whole: all errors are reported at once, each with
 * file, line, key and what was expected.
 */
public final class OperatorFile {
    private static final SettingsSchema SCHEMA =
            new SettingsSchema()
                    .number("talk.every_ms", 250, 50, 10_000)
                    .number("talk.fanout", 2, 1, 16)
                    .number("talk.suspect_ms", 2000, 200, 60_000)
                    .flag("overload.on", true)
                    .number("overload.window_ms", 4000, 500, 60_000)
                    .number("overload.further_part", 0.1, 0, 1)
                    .texts("log.members", "a list of numeric host:port, one a gateway")
                    .text("log.folder", "a folder that lasts")
                    .number("log.term_ms", 4000, 500, 120_000)
                    .number("log.clocks_apart_ms", 50, 0, 10_000)
                    .number("log.linger_ms", 15_000, 0, 600_000)
                    .flag("budgets.on", false)
                    .number("budgets.offer", 16, 1, 100_000)
                    .number("budgets.static_part", 0.5, 0, 1)
                    .number("budgets.accounts", 64, 1, 4096)
                    .number("budgets.floor", 1, 0, 1000)
                    .number("budgets.cap", 64, 1, 100_000)
                    .flag("moves.on", false)
                    .text("moves.plan", "a path")
                    .texts(
                            "moves.homes",
                            "a list of frontend=group, of all frontends that may ever move")
                    .texts("moves.rooms", "a list of group=units a second,connections")
                    .flag("configuration.on", false)
                    .text("configuration.fleet", "the name of the fleet")
                    .text("configuration.region", "the name of this gateway's region")
                    .texts("configuration.servers", "a list of " + EndpointParser.FORMAT)
                    .text("configuration.folder", "a folder that lasts");

    private final OperatorSettings settings;
    private final List<String> errors = new ArrayList<>();

    private OperatorFile(OperatorSettings settings) {
        this.settings = settings;
    }

    /**
     * @throws InvalidOperatorFileException with all errors
     */
    public static OperatorFile read(Path file) throws InvalidOperatorFileException {
        return checked(SCHEMA.read(file));
    }

    static OperatorFile of(String file, String text) throws InvalidOperatorFileException {
        return checked(SCHEMA.parse(file, text));
    }

    private static OperatorFile checked(OperatorSettings settings)
            throws InvalidOperatorFileException {
        OperatorFile file = new OperatorFile(settings);
        file.checkDependencies();
        file.checkConfiguration();
        if (!file.errors.isEmpty()) {
            throw new InvalidOperatorFileException(file.errors);
        }
        return file;
    }

    private void checkDependencies() {
        if (number("talk.suspect_ms") < 3 * number("talk.every_ms")) {
            addError("talk.suspect_ms", "three times talk.every_ms or more");
        }
        if ((flag("budgets.on") || flag("moves.on"))
                && (texts("log.members").size() < 3 || text("log.folder").isEmpty())) {
            addError("log.members", "three or more, and log.folder, where budgets or moves are on");
        }
        if (flag("moves.on") && texts("moves.homes").isEmpty()) {
            addError("moves.homes", "one or more where moves are on");
        }
        for (String member : texts("log.members")) {
            if (!member.matches("[0-9.]+:[0-9]{1,5}")) {
                addError("log.members", "numeric host:port, not " + member);
            }
        }
    }

    private void checkConfiguration() {
        for (String server : texts("configuration.servers")) {
            if (EndpointParser.parse(server).isEmpty()) {
                addError("configuration.servers", EndpointParser.FORMAT + ", not " + server);
            }
        }
        for (String key : List.of("configuration.fleet", "configuration.region")) {
            String name = text(key);
            if (!name.isEmpty() && !RecordChecks.isName(name)) {
                addError(key, RecordChecks.EXPECTED_NAME + ", not " + name);
            }
        }
        if (flag("configuration.on")) {
            checkConfigurationIsComplete();
        }
    }

    private void checkConfigurationIsComplete() {
        String switchKey = "configuration.on";
        for (String key :
                List.of("configuration.fleet", "configuration.region", "configuration.folder")) {
            if (text(key).isEmpty()) {
                errors.add(settings.errorAt(switchKey, key, "where configuration.on is true"));
            }
        }
        if (texts("configuration.servers").isEmpty()) {
            errors.add(
                    settings.errorAt(
                            switchKey,
                            "configuration.servers",
                            "one or more where configuration.on is true"));
        }
    }

    private void addError(String key, String expected) {
        errors.add(settings.error(key, expected));
    }

    /** The value of a key, or its default. */
    public double number(String key) {
        return settings.number(key);
    }

    /** Whether a switch is on. */
    public boolean flag(String key) {
        return settings.flag(key);
    }

    /** The value of a key; empty where it is left out. */
    public String text(String key) {
        return settings.text(key);
    }

    /** The values of a key; none where it is left out. */
    public List<String> texts(String key) {
        return settings.texts(key);
    }
}
