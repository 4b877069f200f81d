package tinford.fleet.run;

import java.io.IOException;
import java.nio.file.Path;
import tinford.decision.DecisionEngine;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.logging.LineLogger;
import tinford.program.GatewayProcess;

/**
 * One gateway of a fleet: the gateway's own program, with a companion made from the operator file
 * that TINFORD_FLEET names.
 */
public final class Main {
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
            MigrationSettings moves =
                    MigrationSettings.read(file, operatorFile, System.getenv("ROUTER_CONFIG"));
            FleetMember fleet =
                    new FleetMember(
                            operatorFile, moves, gatewaySettings, System.getenv("TINFORD_HISTORY"));
            code = GatewayProcess.start(System.getenv(), System.err, DecisionEngine::new, fleet);
        } catch (InvalidOperatorFileException | IOException e) {
            e.getMessage().lines().forEach(l -> System.err.println("tinford: " + l));
        }
        if (code >= 0) {
            LineLogger.flush(100);
            System.exit(code);
        }
    }
}
