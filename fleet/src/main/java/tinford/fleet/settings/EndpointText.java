package tinford.fleet.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.RecordChecks;

/** Parses the addresses of control servers as operators write them. */
public final class EndpointText {
    /** The format of an address, for error messages. */
    public static final String FORM = "region=numeric host:port";

    private static final Pattern ENDPOINT = Pattern.compile("([^=\\s]+)=([0-9.]+):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    private EndpointText() {}

    /** Parses an address; empty if the text does not have the {@link #FORM}. */
    public static Optional<Endpoint> parse(String text) {
        Matcher form = ENDPOINT.matcher(text);
        if (!form.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(form.group(3));
        if (port < 1 || port > MAX_PORT || !RecordChecks.isName(form.group(1))) {
            return Optional.empty();
        }
        return Optional.of(new Endpoint(form.group(1), form.group(2), port));
    }
}
