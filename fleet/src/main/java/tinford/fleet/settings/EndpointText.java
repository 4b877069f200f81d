package tinford.fleet.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.RecordChecks;

/** Control servers as operators write them. */
public final class EndpointText {
    /** How one is written. */
    public static final String FORM = "region=numeric host:port";

    private static final Pattern ENDPOINT = Pattern.compile("([^=\\s]+)=([0-9.]+):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    private EndpointText() {}

    /** Null where the text is not of that form. */
    public static Endpoint parse(String text) {
        Matcher form = ENDPOINT.matcher(text);
        if (!form.matches()) {
            return null;
        }
        int port = Integer.parseInt(form.group(3));
        return port < 1 || port > MAX_PORT || !RecordChecks.isName(form.group(1))
                ? null
                : new Endpoint(form.group(1), form.group(2), port);
    }
}
