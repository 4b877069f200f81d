package tinford.lab.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.Endpoint;
import tinford.lab.fleet.Processes;
import tinford.lab.fleet.StreamLinks;
import tinford.lab.sockets.FreePort;

/**
 * The control servers of a run: a process each, with links between them and to their followers,
 * which cross the regions or do not.
 */
final class ControlServers {
    /** The fleet that all parties of a run belong to. */
    static final String FLEET_ID = "lab";

    private static final String HOST = "127.0.0.1";
    private static final int HEAP_MB = 256;
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_INTERVAL_MS = 100;
    private final ControlSize size;
    private final Processes processes;
    private final StreamLinks links;
    private final ResourceSampler resources;
    private final Path folder;
    private final Classpath program;
    private final HttpClient http;
    private final List<Server> servers = new ArrayList<>();
    private final Set<String> crossing = new HashSet<>();
    private final ObjectMapper json = new ObjectMapper();

    /** Where a control server listens, itself and not through a link. */
    record Server(int number, String region, boolean voter, int httpPort, int logPort) {
        URI uri() {
            return URI.create("http://" + HOST + ":" + httpPort);
        }

        String name() {
            return "server-" + number;
        }
    }

    ControlServers(
            ControlSize size,
            Processes processes,
            StreamLinks links,
            ResourceSampler resources,
            Classpath program,
            HttpClient http,
            Path folder)
            throws IOException {
        this.size = size;
        this.processes = processes;
        this.links = links;
        this.resources = resources;
        this.program = program;
        this.http = http;
        this.folder = Files.createDirectories(folder);
        for (int i = 0; i < size.servers(); i++) {
            String region = Regions.ofServer(size, i);
            servers.add(new Server(i, region, i < size.voters(), FreePort.find(), FreePort.find()));
        }
        for (Server server : servers) {
            Files.writeString(operatorFile(server), operatorText(server));
        }
    }

    private String operatorText(Server server) throws IOException {
        StringBuilder text = new StringBuilder("[server]\n");
        put(text, "fleet", FLEET_ID);
        put(text, "region", server.region());
        put(text, "name", server.name());
        put(text, "listen", HOST + ":" + server.httpPort());
        put(text, "role", server.voter() ? "voter" : "replica");
        put(text, "folder", processes.disk(server.number()).toString());
        if (server.voter()) {
            text.append("[voters]\nnumber = ").append(server.number() + 1);
            text.append("\nmembers = ").append(members(server)).append('\n');
        } else {
            text.append("[replica]\nupstream = ").append(upstream(server)).append('\n');
        }
        return text.toString();
    }

    private static void put(StringBuilder text, String key, String value) {
        text.append(key).append(" = \"").append(value).append("\"\n");
    }

    /** Where a voter reaches each voter's log: itself directly, the others through links. */
    private String members(Server from) throws IOException {
        List<String> all = new ArrayList<>();
        for (Server to : servers) {
            if (to.voter()) {
                int port =
                        to == from
                                ? to.logPort()
                                : link("log " + from.name(), from.region(), to, to.logPort());
                all.add("\"" + (to.number() + 1) + "=" + HOST + ":" + port + "\"");
            }
        }
        return all.toString();
    }

    /** Where a replica reaches each voter. */
    private String upstream(Server from) throws IOException {
        List<String> all = new ArrayList<>();
        for (Server to : servers) {
            if (to.voter()) {
                int port = link("upstream " + from.name(), from.region(), to, to.httpPort());
                all.add("\"" + to.region() + "=" + HOST + ":" + port + "\"");
            }
        }
        return all.toString();
    }

    List<Server> all() {
        return servers;
    }

    void startAll() throws IOException {
        for (Server server : servers) {
            start(server.number());
        }
    }

    void start(int number) throws IOException {
        Server server = servers.get(number);
        List<String> words =
                program.java(
                        Classpath.SMALL,
                        HEAP_MB,
                        "tinford.fleet.control.Main",
                        "serve",
                        operatorFile(server).toString());
        Process process =
                processes.start(number, words, Map.of(), folder.resolve(server.name() + ".log"));
        resources.watch(server.name(), process.toHandle());
    }

    void kill(int number) throws IOException {
        processes.kill(number);
    }

    void pause(int number, boolean on) throws IOException {
        processes.signal(number, on ? "STOP" : "CONT");
    }

    /** Followers of a group reach each server through these, their own region's first. */
    List<Endpoint> endpoints(String group, String region) throws IOException {
        List<Endpoint> own = new ArrayList<>();
        List<Endpoint> other = new ArrayList<>();
        for (Server server : servers) {
            int port = link("watch " + group, region, server, server.httpPort());
            (server.region().equals(region) ? own : other)
                    .add(new Endpoint(server.region(), HOST, port));
        }
        own.addAll(other);
        return own;
    }

    private int link(String from, String region, Server to, int port) throws IOException {
        String name = from + " " + to.name();
        if (!region.equals(to.region())) {
            crossing.add(name);
        }
        return links.open(name, port);
    }

    /** Cuts the regions off from each other, or joins them. */
    void cutRegions(boolean on) throws IOException {
        links.cut(crossing::contains, on);
    }

    /**
     * @return what a server says of itself; null where it says nothing
     */
    JsonNode status(int number) throws InterruptedException {
        return get(number, "/status");
    }

    /**
     * @return which follower holds what, as a server knows it; null where it says nothing
     */
    JsonNode followers(int number) throws InterruptedException {
        return get(number, "/followers");
    }

    private JsonNode get(int number, String path) throws InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(servers.get(number).uri().resolve(path))
                            .timeout(STATUS_TIMEOUT)
                            .build();
            HttpResponse<byte[]> answer =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return answer.statusCode() == 200 ? json.readTree(answer.body()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * @return the number of the voter that says it leads; -1 where none does
     */
    int leader() throws InterruptedException {
        for (Server server : servers) {
            JsonNode status = server.voter() ? status(server.number()) : null;
            if (status != null && status.path("leads").asBoolean()) {
                return server.number();
            }
        }
        return -1;
    }

    /** Waits until a voter leads and every server answers. */
    void awaitReady(double timeoutSeconds) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while (!ready()) {
            if (System.nanoTime() > deadline) {
                throw new IOException("the control servers are not ready, see " + folder);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private boolean ready() throws InterruptedException {
        for (Server server : servers) {
            if (status(server.number()) == null) {
                return false;
            }
        }
        return leader() >= 0;
    }

    private Path operatorFile(Server server) {
        return folder.resolve(server.name() + ".toml");
    }
}
