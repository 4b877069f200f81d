package tinford.fleet.run;

import java.io.IOException;
import java.nio.file.Path;
import tinford.Decide;
import tinford.fleet.settings.InvalidSettings;
import tinford.logs.Lines;
import tinford.program.Serve;

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
            MoveSettings moves =
                    MoveSettings.read(file, operatorFile, System.getenv("ROUTER_CONFIG"));
            Fleet fleet =
                    new Fleet(
                            operatorFile, moves, gatewaySettings, System.getenv("TINFORD_HISTORY"));
            code = Serve.start(System.getenv(), System.err, Decide::new, fleet);
        } catch (InvalidSettings | IOException e) {
            e.getMessage().lines().forEach(l -> System.err.println("tinford: " + l));
        }
        if (code >= 0) {
            Lines.flush(100);
            System.exit(code);
        }
    }
}
