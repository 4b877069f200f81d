package tinford.fleet.control;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The control server and the operator's commands. */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description = "Keeps and serves the fleet's configuration.",
        subcommands = {
            ServeCommand.class,
            EnterCommand.class,
            RevertCommand.class,
            StatusCommand.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() {}

    /** The command line; its exit codes are those of {@link ExitCode}. */
    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExitCodeExceptionMapper(Main::exitCode);
    }

    private static int exitCode(Throwable failure) {
        return failure instanceof CommandLine.ParameterException
                ? ExitCode.USAGE
                : ExitCode.UNAVAILABLE;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a command");
    }

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }
}
