package tinford.fleet.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.RecordChecks;
import tinford.fleet.control.ControlSettings.VoterSettings;
import tinford.fleet.control.ControlSettings.WatchTiming;
import tinford.fleet.settings.EndpointParser;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.fleet.settings.OperatorSettings;
import tinford.fleet.settings.SettingsSchema;
import tinford.routing.Addresses;

/** Reads a control server's operator file; all errors are reported at once. */
final class ControlSettingsReader {
    private static final SettingsSchema SCHEMA =
            new SettingsSchema()
                    .requiredText("server.fleet", "a name")
                    .requiredText("server.region", "a name")
                    .requiredText("server.name", "a name, another one at each server")
                    .requiredText("server.listen", "a numeric host:port")
                    .requiredText("server.role", "\"voter\" or \"replica\"")
                    .requiredText("server.folder", "a folder that lasts")
                    .number("server.followers", 1024, 1, 16_384)
                    .number("server.stall_ms", WatchTiming.DEFAULT.stallTimeoutMs(), 1000, 60_000)
                    .number("server.line_ms", WatchTiming.DEFAULT.lineTimeoutMs(), 1000, 600_000)
                    .number("voters.number", 0, 1, 1000)
                    .texts("voters.members", "a list of number=host:port, all voters")
                    .number("voters.silence_ms", 1000, 100, 30_000)
                    .number("voters.decide_ms", 5000, 500, 10_000)
                    .texts(
                            "replica.upstream",
                            "a list of " + EndpointParser.FORMAT + ", all voters");

    private static final Pattern NUMBER = Pattern.compile("[1-9][0-9]{0,2}");

    private final OperatorSettings settings;
    private final List<String> errors = new ArrayList<>();

    private ControlSettingsReader(OperatorSettings settings) {
        this.settings = settings;
    }

    static ControlSettings read(Path file) throws InvalidOperatorFileException {
        return new ControlSettingsReader(SCHEMA.read(file)).validated();
    }

    static ControlSettings parse(String file, String text) throws InvalidOperatorFileException {
        return new ControlSettingsReader(SCHEMA.parse(file, text)).validated();
    }

    private ControlSettings validated() throws InvalidOperatorFileException {
        Role role = role();
        ControlSettings read =
                new ControlSettings(
                        name("server.fleet"),
                        name("server.region"),
                        name("server.name"),
                        listen(),
                        role,
                        Path.of(settings.text("server.folder")),
                        (int) settings.number("server.followers"),
                        timing(),
                        role == Role.VOTER ? voters() : null,
                        role == Role.REPLICA ? upstream() : List.of());
        if (!errors.isEmpty()) {
            throw new InvalidOperatorFileException(errors);
        }
        return read;
    }

    private void addError(String key, String expected) {
        errors.add(settings.error(key, expected));
    }

    private String name(String key) {
        String text = settings.text(key);
        if (!RecordChecks.isName(text)) {
            addError(key, RecordChecks.EXPECTED_NAME);
        }
        return text;
    }

    private InetSocketAddress listen() {
        InetSocketAddress address = Addresses.of(settings.text("server.listen"));
        if (address == null) {
            addError("server.listen", "a numeric host:port");
        }
        return address;
    }

    private Role role() {
        return switch (settings.text("server.role")) {
            case "voter" -> Role.VOTER;
            case "replica" -> Role.REPLICA;
            default -> {
                addError("server.role", "\"voter\" or \"replica\"");
                yield null;
            }
        };
    }

    private WatchTiming timing() {
        return new WatchTiming(
                WatchTiming.DEFAULT.heartbeatIntervalMs(),
                (long) settings.number("server.stall_ms"),
                (long) settings.number("server.line_ms"));
    }

    private VoterSettings voters() {
        SortedMap<Integer, InetSocketAddress> members = new TreeMap<>();
        for (String text : settings.texts("voters.members")) {
            addMember(text, members);
        }
        int number = (int) settings.number("voters.number");
        if (!members.containsKey(number)) {
            addError("voters.number", "the number of this server in voters.members");
        }
        return new VoterSettings(
                number,
                members,
                (long) settings.number("voters.silence_ms"),
                (long) settings.number("voters.decide_ms"));
    }

    private void addMember(String text, SortedMap<Integer, InetSocketAddress> members) {
        int equals = text.indexOf('=');
        InetSocketAddress address = Addresses.of(text.substring(equals + 1));
        boolean numbered = equals > 0 && NUMBER.matcher(text.substring(0, equals)).matches();
        if (address == null || !numbered) {
            addError("voters.members", "number=host:port, not " + text);
            return;
        }
        if (members.put(Integer.parseInt(text.substring(0, equals)), address) != null) {
            addError("voters.members", "each number once, not again " + text);
        }
    }

    private List<Endpoint> upstream() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String text : settings.texts("replica.upstream")) {
            Optional<Endpoint> endpoint = EndpointParser.parse(text);
            if (endpoint.isPresent()) {
                endpoints.add(endpoint.get());
            } else {
                addError("replica.upstream", EndpointParser.FORMAT + ", not " + text);
            }
        }
        if (endpoints.isEmpty()) {
            addError("replica.upstream", "one or more " + EndpointParser.FORMAT + " for a replica");
        }
        return endpoints;
    }
}
