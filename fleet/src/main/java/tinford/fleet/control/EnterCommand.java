package tinford.fleet.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.Proposal;

/** {@code enter FILE}: proposes the changes that a file holds, as one revision. */
@Command(
        name = "enter",
        mixinStandardHelpOptions = true,
        description = "Proposes the changes in a file; all of them come into force, or none.")
final class EnterCommand implements Callable<Integer> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Spec private CommandSpec spec;
    @Mixin private ServersOption servers;

    @Parameters(paramLabel = "FILE", description = "A proposal as JSON; id may be left out.")
    private Path file;

    @Option(
            names = "--within",
            paramLabel = "MS",
            defaultValue = "15000",
            description = "Tries for as long, ms (${DEFAULT-VALUE}).")
    private long timeoutMs;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        Proposal proposal;
        try {
            proposal = ConfigurationCodec.decodeProposal(withId(content()));
        } catch (InvalidConfigurationException e) {
            err.println(file + ": " + e.getMessage());
            return ExitCode.REJECTED;
        } catch (IOException e) {
            err.println(file + ": expected a file that can be read, of JSON: " + e.getMessage());
            return ExitCode.REJECTED;
        }
        PrintWriter out = spec.commandLine().getOut();
        return new ProposalSender(servers.addresses(), out, err).send(proposal, timeoutMs);
    }

    private byte[] content() throws IOException, InvalidConfigurationException {
        if (Files.size(file) > ConfigurationLimits.MAX_PROPOSAL_BYTES) {
            throw new InvalidConfigurationException(
                    "file", "at most " + ConfigurationLimits.MAX_PROPOSAL_BYTES + " bytes");
        }
        return Files.readAllBytes(file);
    }

    private static byte[] withId(byte[] content) throws IOException, InvalidConfigurationException {
        JsonNode tree;
        try {
            tree = MAPPER.readTree(content);
        } catch (JsonProcessingException e) {
            return content; // the codec reports the error
        }
        if (!(tree instanceof ObjectNode object) || object.has("id")) {
            return content;
        }
        object.put("id", UUID.randomUUID().toString());
        return MAPPER.writeValueAsBytes(object);
    }
}
