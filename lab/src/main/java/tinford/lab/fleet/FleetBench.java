package tinford.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.lab.model.RandomStreams;
import tinford.lab.scenario.Scenario;
import tinford.lab.scenario.Trace;
import tinford.lab.sockets.BenchInterceptor;
import tinford.lab.sockets.SocketBench;

/**
 * A fleet of real processes on loopback under a script of faults, with a link between any two
 * parties, and the histories of all.
 */
public final class FleetBench implements AutoCloseable {
    private final FleetScript script;
    private final GatewayProgram program;
    private final Path folder;
    private final List<Path> histories = java.util.Collections.synchronizedList(new ArrayList<>());
    private final History history;
    private final Processes processes;
    private final FleetLinks links;
    private final SocketBench bench;
    private final FaultScriptRunner faultScript;
    private final Parties parties = new Parties();
    private volatile double began; // by the clock of the histories

    /**
     * What is wrong is done to links and processes; what the bench's stand-ins meet goes through
     * them.
     */
    private final class Parties implements BenchInterceptor, FaultScriptRunner.Fleet {
        @Override
        public Process start(int gateway, Path config, Path log) throws IOException {
            Path its = processes.of(gateway);
            Path lines = its.resolve("history-" + System.currentTimeMillis() + ".jsonl");
            histories.add(lines);
            Map<String, String> environment = new TreeMap<>(program.environment());
            environment.put("ROUTER_CONFIG", config.toString());
            environment.put("TINFORD_HISTORY", lines.toString());
            GatewayProgram.GatewaySlot slot = slot(gateway);
            if (program.operator() != null) {
                Path file = its.resolve("fleet.json");
                Files.writeString(file, program.operator().text(slot));
                environment.put("TINFORD_FLEET", file.toString());
            }
            tell("started", "who", gateway);
            return processes.start(
                    gateway, program.words().stream().map(slot::fill).toList(), environment, log);
        }

        @Override
        public int server(int gateway, String server, int port) {
            return links.server(gateway, server, port);
        }

        @Override
        public String group(String server) {
            List<String> all = script.groups();
            return all.isEmpty()
                    ? BenchInterceptor.super.group(server)
                    : all.get(Integer.parseInt(server.substring(1)) % all.size());
        }

        @Override
        public int counter(int gateway, int port) {
            return links.counter(gateway, port);
        }

        @Override
        public void configure(int gateway, Map<String, Object> config, Map<String, Object> limits)
                throws IOException {
            config.put("peer_listen", links.peerListen(gateway));
            config.put("peers", links.peers(gateway));
            config.put("peers_all", links.peersAll(gateway));
            limits.put("Peers", program.peers());
        }

        @Override
        public double idle() {
            return script.idle() > 0 ? script.idle() : BenchInterceptor.super.idle();
        }

        @Override
        public int from(int port) {
            return links.from(port);
        }

        @Override
        public void shut(String server, boolean on) {
            links.shut(server, on);
        }

        @Override
        public void tell(String kind, Object... fields) {
            history.tell(kind, fields);
        }

        @Override
        public void pause(int gateway, boolean on) {
            bench.paused(gateway, on);
            quietly(() -> processes.signal(gateway, on ? "STOP" : "CONT"));
        }

        @Override
        public void end(int gateway) {
            bench.end(gateway);
        }

        @Override
        public void copyDisk(int gateway) {
            quietly(() -> processes.copyDisk(gateway));
        }

        @Override
        public void disk(int gateway, FleetScript.Disk found) {
            quietly(() -> processes.give(gateway, found));
        }

        @Override
        public void links(
                FleetScript.Fault f, Collection<Integer> who, Collection<Integer> to, boolean on) {
            links.between(who, to, f.impairment(), on, f.both());
        }

        @Override
        public void servers(
                FleetScript.Fault f,
                Collection<Integer> who,
                Collection<String> which,
                boolean on) {
            links.servers(who, which, f.impairment(), on, f.both());
        }

        @Override
        public void counter(FleetScript.Fault f, Collection<Integer> who, boolean on) {
            links.counter(who, f.impairment(), on, f.both());
        }

        private void quietly(LinkLoop.Step what) {
            try {
                what.run();
            } catch (IOException e) {
                tell("harness failed", "why", e.toString());
            }
        }
    }

    /**
     * @param s the script's scenario, with as many gateways as there are to be
     * @param folder for configurations, disks, logs and histories
     */
    public FleetBench(
            FleetScript script, Scenario s, GatewayProgram program, long seed, Path folder)
            throws IOException {
        this.script = script;
        this.program = program;
        this.folder = Files.createDirectories(folder);
        Path lines = folder.resolve("stand-ins.jsonl");
        history = new History(lines);
        histories.add(lines);
        processes = new Processes(folder);
        try {
            links = new FleetLinks(s.gateways(), seed, this::comes, this::left);
            bench = new SocketBench(s, seed, parties, folder);
        } catch (IOException | UncheckedIOException e) {
            processes.close();
            throw e;
        }
        faultScript =
                new FaultScriptRunner(bench, parties, new RandomStreams(seed).of("fleet faults"));
        bench.retries(s.clients().retries());
        bench.onBegin(
                from -> {
                    began = System.nanoTime() / 1e6 + 200;
                    parties.tell("begun");
                    if (script.offer() > 0) {
                        bench.machines()
                                .forEach(
                                        m ->
                                                parties.tell(
                                                        "offer",
                                                        "server",
                                                        m.id,
                                                        "offer",
                                                        script.offer()));
                    }
                    bench.post(() -> faultScript.set(script, from));
                });
    }

    private void comes(int port) {
        SocketBench b = bench;
        if (b != null) { // guards against connections while the bench is being made
            b.comes(port);
        }
    }

    private void left(int port) {
        SocketBench b = bench;
        if (b != null) {
            b.left(port);
        }
    }

    /** Where a gateway sits: all addresses that it is told are those of links. */
    public GatewayProgram.GatewaySlot slot(int gateway) throws IOException {
        return new GatewayProgram.GatewaySlot(
                gateway,
                bench.gateways(),
                processes.of(gateway),
                processes.disk(gateway),
                links.peerListen(gateway),
                links.peers(gateway),
                links.memberListen(gateway),
                links.members(gateway));
    }

    /** Plays the trace to its end; the figures of the bench, and those of the fleet. */
    public Map<String, Double> run(Trace trace) throws IOException, InterruptedException {
        Map<String, Double> figures = new TreeMap<>(bench.run(trace));
        figures.putAll(FleetFigures.of(history(), script, began));
        return figures;
    }

    /** All that was written down so far, by all, in the order of time. */
    public List<History.Line> history() throws IOException {
        return History.read(List.copyOf(histories));
    }

    /** What was broken: the promises by the histories, and the five rules by the oracle. */
    public List<String> broken() throws IOException {
        List<String> all = new ArrayList<>(bench.broken());
        HistoryJudge judge = HistoryJudge.of(script);
        history().forEach(judge::see);
        judge.breaches().forEach(b -> all.add(b.story(began)));
        return all;
    }

    @Override
    public void close() throws IOException {
        try {
            processes.close();
        } finally {
            bench.close();
            links.close();
            history.close();
        }
    }
}
