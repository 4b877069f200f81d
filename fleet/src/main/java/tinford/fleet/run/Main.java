package tinford.fleet.run;

import java.io.IOException;
import java.nio.file.Path;
import tinford.decision.DecisionEngine;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.logging.LineLogger;
import tinford.program.GatewayProcess;

/**
 * Starts one gateway of a fleet: the gateway's own program, extended by the operator file that
 * TINFORD_FLEET names.
 */
public final class Main {
    private static final int LOG_FLUSH_MS = 100;

    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("serve")) {
            System.err.println("usage: TINFORD_FLEET=FILE java -jar tinford-fleet.jar serve");
            System.exit(2);
        }
        int code = 1;
        try {
            String file = System.getenv("TINFORD_FLEET");
            if (file == null || file.isEmpty()) {
                throw new IOException(
                        "environment, TINFORD_FLEET: expected the path of the fleet's operator"
                                + " file");
            }
            GatewaySettings gatewaySettings = GatewaySettings.read(System.getenv("ROUTER_CONFIG"));
            OperatorFile operatorFile = OperatorFile.read(Path.of(file));
            MigrationSettings migrationSettings =
                    MigrationSettingsReader.read(
                            file, operatorFile, System.getenv("ROUTER_CONFIG"));
            FleetMember member =
                    new FleetMember(
                            operatorFile,
                            migrationSettings,
                            gatewaySettings,
                            System.getenv("TINFORD_HISTORY"));
            code = GatewayProcess.start(System.getenv(), System.err, DecisionEngine::new, member);
        } catch (InvalidOperatorFileException | IOException e) {
            e.getMessage().lines().forEach(line -> System.err.println("tinford: " + line));
        }
        if (code >= 0) {
            LineLogger.flush(LOG_FLUSH_MS);
            System.exit(code);
        }
    }
}
