package tinford.fleet.run;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.RecordChecks;

/**
 * The table {@code [configuration]} of the operator file.
 *
 * @param folder where the last good configuration is kept
 */
record ConfigurationSettings(String fleetId, String region, List<Endpoint> servers, Path folder) {
    /** How a control server is written. */
    static final String SERVER_FORM = "region=numeric host:port";

    private static final Pattern SERVER = Pattern.compile("([^=\\s]+)=([0-9.]+):([0-9]{1,5})");
    private static final int MOST_PORT = 65_535;

    /** Null where configurations are off. */
    static ConfigurationSettings of(OperatorFile file) {
        if (!file.on("configuration.on")) {
            return null;
        }
        List<Endpoint> servers = new ArrayList<>();
        for (String server : file.texts("configuration.servers")) {
            servers.add(endpoint(server));
        }
        return new ConfigurationSettings(
                file.text("configuration.fleet"),
                file.text("configuration.region"),
                servers,
                Path.of(file.text("configuration.folder")));
    }

    /** Null where the text is not of that form. */
    static Endpoint endpoint(String text) {
        Matcher form = SERVER.matcher(text);
        if (!form.matches()) {
            return null;
        }
        int port = Integer.parseInt(form.group(3));
        return port < 1 || port > MOST_PORT || !RecordChecks.isName(form.group(1))
                ? null
                : new Endpoint(form.group(1), form.group(2), port);
    }
}
