package tinford;

import java.io.IOException;
import tinford.decision.DecisionEngine;
import tinford.logging.LineLogger;
import tinford.program.GatewayProcess;
import tinford.simulator.SimulatorSession;

/** Picks the front through which the decisions are asked. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            int code = GatewayProcess.start(System.getenv(), System.err, DecisionEngine::new);
            if (code >= 0) {
                LineLogger.flush(100);
                System.exit(code);
            }
            return;
        }
        if (args.length == 1 && args[0].equals("benchlink")) {
            System.exit(
                    SimulatorSession.serve(System.in, System.out, System.err, DecisionEngine::new));
        }
        System.err.println("usage: java -jar tinford.jar serve | benchlink");
        System.exit(2);
    }
}
