package tinford.lab.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;
import tinford.lab.fleet.History;

/**
 * A process of many hollow followers, which share a client for HTTP and some threads. It takes
 * commands as lines on its standard input and ends with it:
 *
 * <pre>
 * start FIRST COUNT kept|lost
 * stop FIRST COUNT
 * refuse FOLLOWER ROUTE
 * accept FOLLOWER
 * digest
 * end
 * </pre>
 */
public final class HollowFollowers {
    private static final int THREADS = 3;
    private final List<HollowFollower> followers = new ArrayList<>();

    private HollowFollowers(HollowSettings settings, History history) throws IOException {
        ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
        HttpClient http =
                HttpClient.newBuilder().executor(Executors.newFixedThreadPool(THREADS)).build();
        Path folder = Files.createDirectories(Path.of(settings.folder()));
        for (HollowSettings.Spec spec : settings.followers()) {
            long seed = settings.seed() + spec.id().hashCode();
            followers.add(new HollowFollower(spec, folder, seed, history, http, executor));
        }
    }

    /**
     * @param args the file of the settings
     */
    public static void main(String[] args) throws IOException {
        HollowSettings settings = HollowSettings.read(Path.of(args[0]));
        try (History history = new History(Path.of(settings.history()));
                BufferedReader commands =
                        new BufferedReader(
                                new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            new HollowFollowers(settings, history).obey(commands);
        }
        Runtime.getRuntime().halt(0); // hundreds of connections need no goodbye
    }

    private void obey(BufferedReader commands) throws IOException {
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "start" -> {
                    for (HollowFollower follower : range(words)) {
                        follower.start(words[3].equals(Events.DISK_KEPT));
                    }
                }
                case "stop" -> {
                    for (HollowFollower follower : range(words)) {
                        follower.stop();
                    }
                }
                case "refuse" -> named(words[1]).refuse(words[2]);
                case "accept" -> named(words[1]).refuse(null);
                case "digest" -> followers.parallelStream().forEach(HollowFollower::digest);
                case "end" -> {
                    return;
                }
                default -> throw new IOException("expected a command, not " + line);
            }
        }
    }

    private List<HollowFollower> range(String[] words) {
        int first = Integer.parseInt(words[1]);
        int count = Integer.parseInt(words[2]);
        return IntStream.range(first, first + count).mapToObj(followers::get).toList();
    }

    private HollowFollower named(String id) {
        return followers.stream()
                .filter(follower -> follower.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
