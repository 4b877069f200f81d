package tinford.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.GZIPOutputStream;

/**
 * Records the replies of a gateway build in the simulator protocol. It runs a small random
 * deployment in closed loop against {@code java -jar JAR benchlink} and writes the messages of both
 * directions to compressed files.
 *
 * <p>Usage, after the module's test classes have been compiled: {@code java -cp target/test-classes
 * tinford.simulator.TranscriptRecorder JAR FOLDER}
 */
public final class TranscriptRecorder {
    private final Recording recording;
    private final ScriptedDeployment deployment;
    private final BufferedWriter toProcess;
    private final BufferedReader fromProcess;
    private final Writer input;
    private final Writer reply;

    private TranscriptRecorder(
            Recording recording,
            BufferedWriter toProcess,
            BufferedReader fromProcess,
            Writer input,
            Writer reply) {
        this.recording = recording;
        this.deployment = new ScriptedDeployment(recording);
        this.toProcess = toProcess;
        this.fromProcess = fromProcess;
        this.input = input;
        this.reply = reply;
    }

    /** Records every scenario with the gateway of the jar into files of the folder. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String jar = args[0];
        Path folder = Path.of(args[1]);
        Files.createDirectories(folder);
        for (RecordingScenario scenario : RecordingScenario.all()) {
            record(jar, folder, scenario);
        }
    }

    private static void record(String jar, Path folder, RecordingScenario scenario)
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder("java", "-jar", jar, "benchlink")
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        try (BufferedWriter toProcess = process.outputWriter(StandardCharsets.UTF_8);
                BufferedReader fromProcess = process.inputReader(StandardCharsets.UTF_8);
                Writer input = compressed(folder.resolve(scenario.name() + ".input.jsonl.gz"));
                Writer reply = compressed(folder.resolve(scenario.name() + ".reply.jsonl.gz"))) {
            new TranscriptRecorder(new Recording(scenario), toProcess, fromProcess, input, reply)
                    .run();
        }
        int exitCode = process.waitFor();
        if (exitCode != 0) {
            throw new IOException(
                    scenario.name() + ": gateway process failed with exit code " + exitCode);
        }
    }

    private static Writer compressed(Path file) throws IOException {
        return new OutputStreamWriter(
                new GZIPOutputStream(Files.newOutputStream(file)), StandardCharsets.UTF_8);
    }

    private void run() throws IOException {
        double durationS = recording.scenario.durationS();
        for (int batchNumber = 1; !recording.timeline.hasPassed(durationS); batchNumber++) {
            recording.timeline.runDueActions();
            exchangeBatch(batchNumber);
            recording.timeline.advance();
        }
    }

    /** Sends the batch, unless it is empty, and carries out the reply's actions. */
    private void exchangeBatch(int batchNumber) throws IOException {
        List<String> events = recording.takeBatch();
        if (events.isEmpty()) {
            return;
        }
        StringBuilder batch = new StringBuilder();
        batch.append("{\"Mark\":{\"TUs\":")
                .append(recording.timeline.nowUs())
                .append(",\"n\":")
                .append(batchNumber)
                .append("}}\n");
        events.forEach(event -> batch.append(event).append('\n'));
        batch.append("{\"Eob\":{}}\n");
        input.write(batch.toString());
        toProcess.write(batch.toString());
        toProcess.flush();
        readReply(batchNumber);
    }

    private void readReply(int batchNumber) throws IOException {
        while (true) {
            String line = fromProcess.readLine();
            if (line == null) {
                throw new IOException(
                        recording.scenario.name()
                                + ": gateway process ended before its reply to batch "
                                + batchNumber);
            }
            reply.write(line + "\n");
            if (line.startsWith("{\"Done\"")) {
                return;
            }
            deployment.handleAction(line);
        }
    }
}
