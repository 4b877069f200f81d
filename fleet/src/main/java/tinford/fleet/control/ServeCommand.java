package tinford.fleet.control;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.logging.LineLogger;

/** {@code serve FILE}: one control server, until SIGTERM. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one control server until SIGTERM.")
final class ServeCommand implements Callable<Integer> {
    private static final int LOG_FLUSH_MS = 200;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "Operator file, see deploy/control.toml.")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        try {
            ControlServer server = ControlServer.start(ControlSettingsReader.read(file));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(server), "control-end"));
        } catch (InvalidOperatorFileException e) {
            err.println(e.getMessage());
            return ExitCode.REJECTED;
        } catch (IOException e) {
            err.println("control server not started: " + e.getMessage());
            return ExitCode.REJECTED;
        }
        new CountDownLatch(1).await(); // until a signal ends the process
        return ExitCode.OK;
    }

    private static void end(ControlServer server) {
        server.close();
        LineLogger.flush(LOG_FLUSH_MS);
        Runtime.getRuntime().halt(ExitCode.OK);
    }
}
