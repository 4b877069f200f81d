package tinford.fleet.run;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tinford.fleet.config.Endpoint;
import tinford.fleet.settings.EndpointParser;

/**
 * The table {@code [configuration]} of the operator file.
 *
 * @param folder where the last good configuration is stored
 */
record ConfigurationSettings(String fleetId, String region, List<Endpoint> servers, Path folder) {
    /** Returns null where the gateway follows no control server. */
    static ConfigurationSettings of(OperatorFile file) {
        if (!file.flag("configuration.on")) {
            return null;
        }
        List<Endpoint> servers = new ArrayList<>();
        for (String server : file.texts("configuration.servers")) {
            servers.add(EndpointParser.parse(server).orElseThrow());
        }
        return new ConfigurationSettings(
                file.text("configuration.fleet"),
                file.text("configuration.region"),
                servers,
                Path.of(file.text("configuration.folder")));
    }
}
