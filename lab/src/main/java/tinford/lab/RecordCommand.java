package tinford.lab;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tinford.lab.model.Simulation;
import tinford.lab.scenario.Scenario;
import tinford.lab.study.Versions;

/** {@code lab record}: the traffic of one seed, for replays. */
@Command(
        name = "record",
        mixinStandardHelpOptions = true,
        description = "Writes what one seed of a scenario asks for, as a trace.")
final class RecordCommand extends StudyCommand {
    @Option(names = "--out", required = true, description = "the trace file")
    Path to;

    @Override
    public Integer call() throws Exception {
        study(); // says what is wrong
        Simulation world = new Simulation(Scenario.read(scenario, set), seed, Versions.here());
        world.run();
        world.asked().write(to);
        out().println(world.asked().asks().size() + " requests");
        return 0;
    }
}
