package tinford.lab.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.ConfigurationCodec;
import tinford.lab.fleet.Processes;

/** The operators' commands, as processes; the exit code tells what came of them. */
final class ControlTool {
    private static final int HEAP_MB = 64;
    private static final int PROCESS_NUMBER = 200;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long STATUS_WAIT_MS = 15_000;
    private final Processes processes;
    private final Classpath program;
    private final ControlServers servers;
    private final Path folder;

    ControlTool(Processes processes, Classpath program, ControlServers servers, Path folder)
            throws IOException {
        this.processes = processes;
        this.program = program;
        this.servers = servers;
        this.folder = Files.createDirectories(folder);
    }

    /** {@code enter FILE}. */
    int enter(ChangeSet set) throws IOException, InterruptedException {
        Path file = folder.resolve(set.id() + ".json");
        Files.write(file, ConfigurationCodec.encode(set));
        return run("enter", file.toString(), "--servers", addresses());
    }

    /** {@code status}, until so many followers hold the revision or that takes too long. */
    int status(int followers, long revision) throws IOException, InterruptedException {
        return run(
                "status",
                "--servers",
                addresses(),
                "--expect",
                Integer.toString(followers),
                "--revision",
                Long.toString(revision),
                "--wait",
                Long.toString(STATUS_WAIT_MS));
    }

    /** What the commands have printed. */
    Path log() {
        return folder.resolve("commands.log");
    }

    private String addresses() {
        return servers.all().stream()
                .map(server -> "127.0.0.1:" + server.httpPort())
                .collect(Collectors.joining(","));
    }

    private int run(String... words) throws IOException, InterruptedException {
        List<String> command =
                program.java(Classpath.SMALL, HEAP_MB, "tinford.fleet.control.Main", words);
        Process process = processes.start(PROCESS_NUMBER, command, Map.of(), log());
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            processes.kill(PROCESS_NUMBER);
            throw new IOException("a command did not end: " + Arrays.toString(words));
        }
        return process.exitValue();
    }
}
