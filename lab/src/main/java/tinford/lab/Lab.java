package tinford.lab;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import tinford.lab.control.ControlCommand;
import tinford.lab.explore.ExploreCommand;
import tinford.lab.overload.OverloadCommand;
import tinford.lab.scale.ScaleCommand;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Versions;

/**
 * The laboratory's command line. Exit codes: 0 done, 1 a rule was broken, 2 wrong words, 3 bad
 * input.
 */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        version = "tinford lab 0.1",
        description = "Tries the decisions of tinford in a model of clients, servers and counter.",
        subcommands = {
            RunCommand.class,
            CompareCommand.class,
            SweepCommand.class,
            RecordCommand.class,
            SocketsCommand.class,
            FleetCommand.class,
            ScaleCommand.class,
            ControlCommand.class,
            ExploreCommand.class,
            OverloadCommand.class
        })
public final class Lab {
    static final int RULE_BROKEN = 1;
    static final int BAD_INPUT = 3;

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new Lab());
        line.setExecutionExceptionHandler(
                (e, l, parsed) -> {
                    if (e instanceof Scenario.Bad
                            || e instanceof Versions.Bad
                            || e instanceof IOException) {
                        l.getErr().println("lab: " + e.getMessage());
                        return BAD_INPUT;
                    }
                    throw e;
                });
        return line;
    }
}
