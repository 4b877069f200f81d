package tinford.fleet.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.RecordChecks;

/** Parses the addresses of control servers as operators write them. */
public final class EndpointParser {
    /** The format of an address, for error messages. */
    public static final String FORMAT = "region=numeric host:port";

    private static final Pattern ENDPOINT = Pattern.compile("([^=\\s]+)=([0-9.]+):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    private EndpointParser() {}

    /** Parses an address; empty if the text does not have the {@link #FORMAT}. */
    public static Optional<Endpoint> parse(String text) {
        Matcher matcher = ENDPOINT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(3));
        if (port < 1 || port > MAX_PORT || !RecordChecks.isName(matcher.group(1))) {
            return Optional.empty();
        }
        return Optional.of(new Endpoint(matcher.group(1), matcher.group(2), port));
    }
}
