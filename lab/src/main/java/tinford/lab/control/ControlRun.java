package tinford.lab.control;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.Outcome;
import tinford.lab.fleet.History;
import tinford.lab.fleet.Processes;
import tinford.lab.fleet.StreamLinks;

/**
 * One scenario from the start of the control servers to the end of all: sets up, enters changes,
 * lets the scenario's faults happen, waits until all has settled, and hands what was written down
 * to {@link ControlFigures}.
 */
final class ControlRun implements AutoCloseable {
    private static final double READY_SECONDS = 120;
    private static final int MOVES_OF_ALL_TENANTS = 2;
    private static final int SHOWN = 5;
    private static final double SETTLE_SECONDS = 30;
    private static final double ENTER_SECONDS = 30;
    private static final double LOAD_MARGIN_SECONDS = 25;
    private static final int FOLLOWER_PROCESS_BASE = 100;
    private static final long GATEWAYS_SETTLE_MS = 3_000;
    private static final long DIGEST_SECONDS = 60;
    private final ControlScenario scenario;
    private final ControlOptions options;
    private final ControlSize size;
    private final Path historyFile;
    private final History history;
    private final Processes processes;
    private final StreamLinks links;
    private final ResourceSampler resources = new ResourceSampler();
    private final ControlServers servers;
    private final List<HollowProcess> hollow = new ArrayList<>();
    private final HeldRevisions held = new HeldRevisions();
    private final ChangeDraw draw;
    private final ConfigurationOperator operator;
    private final ControlTool tool;
    private final GatewayLoad load;
    private final List<String> failures = new ArrayList<>();
    private Configuration reference = Configuration.EMPTY;
    private double began;
    private double ended;

    ControlRun(ControlScenario scenario, ControlOptions options, Path folder) throws IOException {
        this.scenario = scenario;
        this.options = options;
        this.size = options.size();
        Files.createDirectories(folder);
        historyFile = folder.resolve("history.jsonl");
        history = new History(historyFile);
        processes = new Processes(folder.resolve("processes"));
        try {
            links = new StreamLinks(options.seed());
            HttpClient http = HttpClient.newHttpClient();
            servers =
                    new ControlServers(
                            size,
                            processes,
                            links,
                            resources,
                            options.program(),
                            http,
                            folder.resolve("servers"));
            operator = new ConfigurationOperator(http, this::reachable, history);
            tool =
                    new ControlTool(
                            processes, options.program(), servers, folder.resolve("commands"));
            draw = new ChangeDraw(RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed()));
            makeHollow(folder);
            load = size.gateways() == 0 ? null : makeLoad(folder.resolve("load"));
        } catch (IOException | RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    private void makeHollow(Path folder) throws IOException {
        int first = 0;
        for (int i = 0; i < size.hollowProcesses(); i++) {
            int next = size.hollow() * (i + 1) / size.hollowProcesses();
            String region = Regions.ofFollower(i, size.hollowProcesses());
            HollowProcess process =
                    new HollowProcess(
                            i,
                            first,
                            next - first,
                            region,
                            servers.endpoints("followers-" + i, region),
                            options.seed(),
                            folder);
            hollow.add(process);
            held.follow(process.history());
            first = next;
        }
    }

    private GatewayLoad makeLoad(Path folder) throws IOException {
        return new GatewayLoad(
                size.gateways(),
                scenario.seconds() * options.lengthFactor() + LOAD_MARGIN_SECONDS,
                options.seed(),
                options.program(),
                gateway ->
                        servers.endpoints(
                                GatewayLoad.name(gateway),
                                Regions.ofFollower(gateway, size.gateways())),
                folder);
    }

    /**
     * The operator is in the east, and reaches the voters there whatever happens between regions.
     */
    private List<URI> reachable() {
        return servers.all().stream()
                .filter(server -> server.voter() && server.region().equals(Regions.EAST))
                .map(ControlServers.Server::uri)
                .toList();
    }

    ControlResult play() throws IOException, InterruptedException {
        servers.startAll();
        servers.awaitReady(READY_SECONDS);
        enterConfiguration();
        startFollowers();
        links.resetMeters();
        began = now();
        try (ControlFaults faults = new ControlFaults(this)) {
            faults.schedule();
            enterDrawn();
            faults.await();
        }
        ended = now();
        settle();
        return ControlFigures.of(this);
    }

    /** The hollow ones first: hundreds that start at once would slow down the load's clients. */
    private void startFollowers() throws IOException, InterruptedException {
        for (int i = 0; i < hollow.size(); i++) {
            hollow.get(i).launch(FOLLOWER_PROCESS_BASE + i, processes, Classpath.own(), resources);
            hollow.get(i).startAll();
        }
        if (!held.await(size.hollow(), reference.revision(), READY_SECONDS)) {
            List<String> lagging = held.lagging(reference.revision());
            throw new IOException(
                    lagging.size()
                            + " followers did not get the configuration within "
                            + READY_SECONDS
                            + " s, such as "
                            + lagging.stream().limit(SHOWN).toList());
        }
        if (load != null) {
            load.start();
            load.awaitRevision(reference.revision(), READY_SECONDS);
            load.processes().forEach(resources::watch);
        }
    }

    /**
     * The first set by the operators' command; entered again, it has the same outcome. What follows
     * the load makes the updates longer than servers keep them: whoever starts with nothing gets a
     * snapshot, as in a fleet that has run for a while.
     */
    private void enterConfiguration() throws IOException, InterruptedException {
        List<ChangeSet> sets = draw.load(size, load == null ? List.of() : load.configuration());
        int code = tool.enter(sets.get(0));
        if (code != 0) {
            failures.add("the enter command ended with " + code + ", see " + tool.log());
        }
        for (ChangeSet set : sets) {
            enter(set);
        }
        for (int i = 0; i < MOVES_OF_ALL_TENANTS; i++) {
            for (ChangeSet set : draw.moveTenants("move-" + i)) {
                enter(set);
            }
        }
    }

    /** Enters a change set that must be accepted, and carries the reference on. */
    synchronized void enter(ChangeSet set) throws IOException, InterruptedException {
        Outcome outcome = operator.enter(set, ENTER_SECONDS);
        if (!(outcome instanceof Outcome.Accepted accepted)) {
            throw new IOException("change set " + set.id() + " was refused: " + outcome);
        }
        reference = reference.with(accepted.revision(), set.changes());
        history.tell(
                Events.REFERENCE,
                Events.REVISION,
                reference.revision(),
                Events.HASH,
                Long.toHexString(reference.contentHash()));
    }

    /** Enters one change of the scenario's own. */
    void enter(String id, Change change) throws IOException, InterruptedException {
        enter(new ChangeSet(id, null, List.of(change)));
    }

    /** Drawn changes at the scenario's pace, to its end. */
    private void enterDrawn() throws IOException, InterruptedException {
        List<Double> due = ChangePace.of(scenario, options);
        for (int i = 0; i < due.size(); i++) {
            double wait = began + due.get(i) * 1000 - now();
            if (wait > 0) {
                TimeUnit.MICROSECONDS.sleep((long) (wait * 1000));
            }
            ChangeSet next;
            synchronized (this) {
                next = draw.next("change-" + i, reference);
                enter(next);
            }
        }
        double rest = began + scenario.seconds() * options.lengthFactor() * 1000 - now();
        if (rest > 0) {
            TimeUnit.MILLISECONDS.sleep((long) rest);
        }
    }

    private void settle() throws IOException, InterruptedException {
        if (!held.await(size.hollow(), reference.revision(), SETTLE_SECONDS)) {
            List<String> lagging = held.lagging(reference.revision());
            failures.add(
                    lagging.size()
                            + " followers not settled, such as "
                            + lagging.stream().limit(SHOWN).toList());
        }
        if (load != null) {
            TimeUnit.MILLISECONDS.sleep(GATEWAYS_SETTLE_MS);
        }
        int code = tool.status(size.followers(), reference.revision());
        if (code != 0) {
            failures.add("the status command ended with " + code + ", see " + tool.log());
        }
        for (ControlServers.Server server : servers.all()) {
            long revision = serverRevision(server);
            history.tell(
                    Events.SERVER_HOLDS, Events.SERVER, server.name(), Events.REVISION, revision);
        }
        history.tell(Events.SETTLED);
        history.tell(
                Events.REFERENCE,
                Events.REVISION,
                reference.revision(),
                Events.DIGEST,
                ContentDigest.of(reference));
        for (HollowProcess process : hollow) {
            process.digestAndEnd(DIGEST_SECONDS);
        }
        if (load != null) {
            load.await();
        }
    }

    private long serverRevision(ControlServers.Server server) throws InterruptedException {
        var status = servers.status(server.number());
        return status == null ? -1 : status.path("revision").asLong();
    }

    /** All histories, in the order of time. */
    List<History.Line> lines() throws IOException {
        List<Path> files = new ArrayList<>();
        files.add(historyFile);
        hollow.forEach(process -> files.add(process.history()));
        List<History.Line> all = new ArrayList<>(History.read(files));
        if (load != null) {
            all.addAll(load.history());
        }
        all.sort(Comparator.comparingDouble(History.Line::at));
        return all;
    }

    static double now() {
        return System.nanoTime() / 1e6;
    }

    double began() {
        return began;
    }

    double ended() {
        return ended;
    }

    ControlScenario scenario() {
        return scenario;
    }

    ControlOptions options() {
        return options;
    }

    ControlServers servers() {
        return servers;
    }

    List<HollowProcess> hollow() {
        return hollow;
    }

    /** Null where no real gateways take part. */
    GatewayLoad load() {
        return load;
    }

    StreamLinks links() {
        return links;
    }

    ResourceSampler resources() {
        return resources;
    }

    History history() {
        return history;
    }

    /** What went wrong with the run itself; it is as bad as a broken promise. */
    List<String> failures() {
        return failures;
    }

    @Override
    public void close() throws IOException {
        try (processes;
                history;
                links;
                resources) {
            if (load != null) {
                load.close();
            }
        }
    }
}
