package tinford.lab.control;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.Endpoint;
import tinford.lab.fleet.Processes;

/** A process of hollow followers, as its harness sees it. All its followers are in one region. */
final class HollowProcess {
    private static final int BASE_HEAP_MB = 200;
    private static final int HEAP_MB_A_FOLLOWER = 6;
    private final String name;
    private final String region;
    private final List<HollowSettings.Spec> followers = new ArrayList<>();
    private final Path historyFile;
    private final Path settingsFile;
    private final Path log;
    private Process process;

    /** Followers from that number on, so many. */
    HollowProcess(
            int index,
            int firstFollower,
            int count,
            String region,
            List<Endpoint> endpoints,
            long seed,
            Path folder)
            throws IOException {
        this.name = "followers-" + index;
        this.region = region;
        for (int i = firstFollower; i < firstFollower + count; i++) {
            followers.add(new HollowSettings.Spec("follower-" + i, region, endpoints));
        }
        Path own = Files.createDirectories(folder.resolve(name));
        historyFile = own.resolve("history.jsonl");
        settingsFile = own.resolve("settings.json");
        log = own.resolve("log");
        new HollowSettings(historyFile.toString(), own.resolve("disks").toString(), seed, followers)
                .write(settingsFile);
    }

    void launch(int number, Processes processes, Classpath program, ResourceSampler resources)
            throws IOException {
        int heap = BASE_HEAP_MB + HEAP_MB_A_FOLLOWER * followers.size();
        List<String> words =
                program.java(
                        Classpath.LARGE,
                        heap,
                        HollowFollowers.class.getName(),
                        settingsFile.toString());
        process = processes.start(number, words, Map.of(), log);
        resources.watch(name, process.toHandle());
    }

    void startAll() throws IOException {
        say("start 0 " + followers.size() + " " + Events.DISK_LOST);
    }

    void stopFirst(int count) throws IOException {
        say("stop 0 " + count);
    }

    void startFirst(int count, boolean diskKept) throws IOException {
        say("start 0 " + count + " " + (diskKept ? Events.DISK_KEPT : Events.DISK_LOST));
    }

    void refuse(int follower, String route) throws IOException {
        say("refuse " + followers.get(follower).id() + " " + route);
    }

    void accept(int follower) throws IOException {
        say("accept " + followers.get(follower).id());
    }

    /** All tell what they hold, then the process ends. */
    void digestAndEnd(long timeoutSeconds) throws IOException, InterruptedException {
        say("digest");
        say("end");
        if (!process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) {
            throw new IOException(name + " did not end in " + timeoutSeconds + " s, see " + log);
        }
    }

    private void say(String command) throws IOException {
        OutputStream to = process.getOutputStream();
        to.write((command + "\n").getBytes(StandardCharsets.UTF_8));
        to.flush();
    }

    String name() {
        return name;
    }

    String region() {
        return region;
    }

    int size() {
        return followers.size();
    }

    Path history() {
        return historyFile;
    }
}
