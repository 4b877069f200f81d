package tinford;

import java.io.IOException;
import tinford.decision.DecisionEngine;
import tinford.logging.LineLogger;
import tinford.program.GatewayProcess;
import tinford.simulator.SimulatorSession;

/** Runs the gateway, or serves the simulator on standard input and output. */
public final class Main {
    private static final double LOG_FLUSH_TIMEOUT_MS = 100;
    private static final int USAGE_ERROR_EXIT_CODE = 2;

    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            int code = GatewayProcess.start(System.getenv(), System.err, DecisionEngine::new);
            if (code >= 0) {
                LineLogger.flush(LOG_FLUSH_TIMEOUT_MS);
                System.exit(code);
            }
            return;
        }
        if (args.length == 1 && args[0].equals("benchlink")) {
            System.exit(
                    SimulatorSession.serve(System.in, System.out, System.err, DecisionEngine::new));
        }
        System.err.println("usage: java -jar tinford.jar serve | benchlink");
        System.exit(USAGE_ERROR_EXIT_CODE);
    }
}
