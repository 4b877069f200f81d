package tinford.fleet.control;

import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinford.fleet.config.Revert;

/** {@code revert N}: makes an earlier revision's content current again. */
@Command(
        name = "revert",
        mixinStandardHelpOptions = true,
        description = "Makes the content of an earlier revision current again, as a new revision.")
final class RevertCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;
    @Mixin private ServersOption servers;

    @Parameters(paramLabel = "REVISION", description = "One that is retained.")
    private long revision;

    @Option(
            names = "--within",
            paramLabel = "MS",
            defaultValue = "15000",
            description = "Tries for as long, ms (${DEFAULT-VALUE}).")
    private long timeoutMs;

    @Override
    public Integer call() throws InterruptedException {
        Revert proposal = new Revert(UUID.randomUUID().toString(), revision);
        return new ProposalSender(
                        servers.addresses(),
                        spec.commandLine().getOut(),
                        spec.commandLine().getErr())
                .send(proposal, timeoutMs);
    }
}
