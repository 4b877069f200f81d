package tinford.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.GZIPOutputStream;

/**
 * Records what a build of the gateway replies on the simulator's wire. It plays a small random
 * deployment in closed loop against {@code java -jar JAR benchlink} and writes both directions,
 * compressed.
 *
 * <p>Usage: {@code java TranscriptRecorder.java JAR FOLDER}
 */
public final class TranscriptRecorder {
    private static final Pattern MESSAGE = Pattern.compile("\\{\"(\\w+)\":\\{(.*)\\}\\}");
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(\"[^\"]*\"|[^,\"]+)");
    private static final long TICK_US = 2_000;
    private static final double LOAD = 2.2;
    private static final long START_US = 5_000_000;

    /** What happens in one recording. */
    private record Scenario(
            String name,
            long seed,
            int gateways,
            int servers,
            double requestsPerSecond,
            double seconds,
            String discovery,
            boolean postPaid,
            boolean streamed,
            boolean mayDuplicate,
            boolean ceilings,
            double coldShare,
            List<Fault> faults) {}

    private enum FaultKind {
        COUNTER_SILENT,
        COUNTER_LATE,
        COUNTER_REFUSES,
        COUNTER_FLUSHED,
        SERVERS_HANG,
        SERVERS_FAIL,
        SERVERS_REFUSE,
        SERVERS_UNREACHABLE,
        SERVERS_SLOW,
        SERVERS_DRAIN,
        SERVERS_RESTART,
        DISCOVERY_REFUSES,
        CONNECTIONS_BREAK,
        CLIENTS_LEAVE,
        BURST,
        GATEWAY_KILLED
    }

    /** One fault, in seconds from the start. */
    private record Fault(FaultKind kind, double from, double until) {}

    private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Server {
        final String id;
        final String zone;
        final int cell;
        final double size;
        long startedAtUs;
        String condition = "up";
        int running;

        Server(String id, String zone, int cell, double size) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.size = size;
        }

        String entry() {
            String started = startedAtUs > 0 ? ",\"BornUs\":" + startedAtUs : "";
            return String.format(
                    Locale.ROOT,
                    "{\"Server\":\"%s\",\"FailureDomain\":\"%s\",\"Kind\":\"k\",\"Bay\":%d,"
                            + "\"Condition\":\"%s\",\"Size\":%s%s}",
                    id,
                    zone,
                    cell,
                    condition,
                    size,
                    started);
        }
    }

    private static final class Attempt {
        final Server server;
        final long sentAtUs;
        boolean ended;

        Attempt(Server server, long sentAtUs) {
            this.server = server;
            this.sentAtUs = sentAtUs;
        }
    }

    private static final class Request {
        final long id;
        final long deadlineUs;
        final boolean streamed;
        final double units;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;
        boolean begun;

        Request(long id, long deadlineUs, boolean streamed, double units) {
            this.id = id;
            this.deadlineUs = deadlineUs;
            this.streamed = streamed;
            this.units = units;
        }
    }

    private final class Gateway {
        final String name;
        final int number;
        final Map<Long, Request> requests = new HashMap<>();
        boolean up;
        boolean watching;
        long incarnation;

        Gateway(int number) {
            this.name = "gateway_" + number;
            this.number = number;
        }

        /** Runs the action later, unless this process has ended by then. */
        void later(long delayUs, Runnable action) {
            long mine = incarnation;
            schedule(
                    delayUs,
                    () -> {
                        if (up && incarnation == mine) {
                            action.run();
                        }
                    });
        }

        void event(String type, String fields) {
            send(
                    "{\""
                            + type
                            + "\":{\"I\":\""
                            + name
                            + "\""
                            + (fields.isEmpty() ? "" : ",")
                            + fields
                            + "}}");
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<Long, Double> counts = new LinkedHashMap<>();
    private final BufferedWriter toProcess;
    private final BufferedReader fromProcess;
    private final Writer input;
    private final Writer reply;
    private final List<String> batch = new ArrayList<>();
    private long nowUs = START_US;
    private long order;
    private long nextRequest = 1;
    private int nextSheet;
    private int version;

    private TranscriptRecorder(
            Scenario scenario,
            BufferedWriter toProcess,
            BufferedReader fromProcess,
            Writer input,
            Writer reply) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.toProcess = toProcess;
        this.fromProcess = fromProcess;
        this.input = input;
        this.reply = reply;
    }

    public static void main(String[] args) throws IOException, InterruptedException {
        Path folder = Path.of(args[1]);
        Files.createDirectories(folder);
        for (Scenario scenario : scenarios()) {
            record(args[0], folder, scenario);
        }
    }

    private static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        all.add(
                new Scenario(
                        "calm",
                        1,
                        2,
                        8,
                        90,
                        5,
                        "automatic",
                        false,
                        false,
                        false,
                        true,
                        0,
                        List.of()));
        all.add(
                new Scenario(
                        "cold-servers",
                        2,
                        3,
                        10,
                        120,
                        6,
                        "automatic",
                        false,
                        false,
                        true,
                        true,
                        0.4,
                        List.of(new Fault(FaultKind.SERVERS_RESTART, 2, 4))));
        all.add(
                new Scenario(
                        "counter-silent",
                        3,
                        3,
                        8,
                        110,
                        7,
                        "automatic",
                        true,
                        false,
                        false,
                        true,
                        0,
                        List.of(new Fault(FaultKind.COUNTER_SILENT, 1.5, 4.5))));
        all.add(
                new Scenario(
                        "counter-flushed",
                        4,
                        2,
                        8,
                        110,
                        6,
                        "automatic",
                        false,
                        false,
                        false,
                        false,
                        0,
                        List.of(
                                new Fault(FaultKind.COUNTER_FLUSHED, 2, 2.1),
                                new Fault(FaultKind.COUNTER_FLUSHED, 4, 4.1))));
        all.add(
                new Scenario(
                        "counter-late",
                        5,
                        4,
                        8,
                        130,
                        6,
                        "subscribe",
                        true,
                        false,
                        true,
                        true,
                        0,
                        List.of(
                                new Fault(FaultKind.COUNTER_LATE, 1, 4),
                                new Fault(FaultKind.COUNTER_REFUSES, 4.2, 5))));
        all.add(
                new Scenario(
                        "drains",
                        6,
                        3,
                        12,
                        120,
                        6,
                        "subscribe",
                        false,
                        false,
                        false,
                        false,
                        0.2,
                        List.of(
                                new Fault(FaultKind.SERVERS_DRAIN, 1, 5),
                                new Fault(FaultKind.DISCOVERY_REFUSES, 2, 3.5))));
        all.add(
                new Scenario(
                        "hanging-servers",
                        7,
                        2,
                        10,
                        110,
                        6,
                        "automatic",
                        false,
                        false,
                        true,
                        false,
                        0,
                        List.of(
                                new Fault(FaultKind.SERVERS_HANG, 1, 4),
                                new Fault(FaultKind.SERVERS_SLOW, 4.2, 5.5))));
        all.add(
                new Scenario(
                        "failing-servers",
                        8,
                        3,
                        10,
                        120,
                        6,
                        "automatic",
                        true,
                        false,
                        false,
                        true,
                        0,
                        List.of(
                                new Fault(FaultKind.SERVERS_FAIL, 1, 3),
                                new Fault(FaultKind.SERVERS_REFUSE, 2.5, 4),
                                new Fault(FaultKind.SERVERS_UNREACHABLE, 3.5, 5))));
        all.add(
                new Scenario(
                        "clients-leave",
                        9,
                        2,
                        8,
                        130,
                        5,
                        "automatic",
                        false,
                        true,
                        true,
                        true,
                        0,
                        List.of(
                                new Fault(FaultKind.CLIENTS_LEAVE, 0.5, 4.5),
                                new Fault(FaultKind.CONNECTIONS_BREAK, 1, 4))));
        all.add(
                new Scenario(
                        "streamed",
                        10,
                        3,
                        8,
                        110,
                        6,
                        "subscribe",
                        true,
                        true,
                        false,
                        false,
                        0.1,
                        List.of(new Fault(FaultKind.SERVERS_HANG, 2, 4))));
        all.add(
                new Scenario(
                        "burst",
                        11,
                        2,
                        6,
                        130,
                        6,
                        "automatic",
                        false,
                        false,
                        true,
                        true,
                        0,
                        List.of(new Fault(FaultKind.BURST, 1, 4))));
        all.add(
                new Scenario(
                        "restarts",
                        12,
                        4,
                        12,
                        140,
                        7,
                        "subscribe",
                        false,
                        true,
                        true,
                        true,
                        0.3,
                        List.of(
                                new Fault(FaultKind.GATEWAY_KILLED, 1.5, 5),
                                new Fault(FaultKind.SERVERS_RESTART, 2, 5),
                                new Fault(FaultKind.COUNTER_SILENT, 3, 4),
                                new Fault(FaultKind.CLIENTS_LEAVE, 1, 6),
                                new Fault(FaultKind.SERVERS_FAIL, 4.5, 6))));
        return all;
    }

    private static void record(String jar, Path folder, Scenario scenario)
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder("java", "-jar", jar, "benchlink")
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        try (BufferedWriter to =
                        new BufferedWriter(
                                new OutputStreamWriter(
                                        process.getOutputStream(), StandardCharsets.UTF_8));
                BufferedReader from =
                        new BufferedReader(
                                new InputStreamReader(
                                        process.getInputStream(), StandardCharsets.UTF_8));
                Writer input = compressed(folder.resolve(scenario.name() + ".input.jsonl.gz"));
                Writer reply = compressed(folder.resolve(scenario.name() + ".reply.jsonl.gz"))) {
            new TranscriptRecorder(scenario, to, from, input, reply).play();
        }
        int code = process.waitFor();
        if (code != 0) {
            throw new IOException(scenario.name() + ": exit code " + code);
        }
    }

    private static Writer compressed(Path file) throws IOException {
        OutputStream out = Files.newOutputStream(file);
        return new OutputStreamWriter(new GZIPOutputStream(out), StandardCharsets.UTF_8);
    }

    private void play() throws IOException {
        for (int i = 0; i < scenario.servers(); i++) {
            String zone = "z" + i % 3;
            Server server =
                    new Server(
                            "10.0.0." + (i + 1) + ":80",
                            zone,
                            i % 3 * 10 + i / 6,
                            i % 4 == 3 ? 2 : 1);
            if (i < scenario.servers() * scenario.coldShare()) {
                server.startedAtUs = START_US - 1_000_000 + i * 100_000;
            }
            servers.add(server);
        }
        for (int i = 0; i < scenario.gateways(); i++) {
            gateways.add(new Gateway(i));
        }
        gateways.forEach(each -> schedule(1_000, () -> start(each)));
        schedule(20_000, this::arrive);
        scenario.faults().forEach(this::plan);
        long end = START_US + (long) (scenario.seconds() * 1e6);
        for (int number = 1; nowUs < end; number++, nowUs += TICK_US) {
            while (!events.isEmpty() && events.peek().atUs() <= nowUs) {
                events.poll().action().run();
            }
            if (!batch.isEmpty()) {
                exchange(number);
            }
        }
    }

    private void exchange(int number) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("{\"Mark\":{\"TUs\":")
                .append(nowUs)
                .append(",\"n\":")
                .append(number)
                .append("}}\n");
        batch.forEach(line -> text.append(line).append('\n'));
        text.append("{\"Eob\":{}}\n");
        batch.clear();
        input.write(text.toString());
        toProcess.write(text.toString());
        toProcess.flush();
        for (String line = fromProcess.readLine(); ; line = fromProcess.readLine()) {
            if (line == null) {
                throw new IOException(scenario.name() + ": the process ended in batch " + number);
            }
            reply.write(line + "\n");
            if (line.startsWith("{\"Done\"")) {
                return;
            }
            action(line);
        }
    }

    private void send(String line) {
        batch.add(line);
    }

    private void schedule(long delayUs, Runnable action) {
        events.add(new Event(nowUs + Math.max(0, delayUs), order++, action));
    }

    private boolean during(FaultKind kind) {
        double seconds = (nowUs - START_US) / 1e6;
        return scenario.faults().stream()
                .anyMatch(f -> f.kind() == kind && seconds >= f.from() && seconds < f.until());
    }

    /** One server in three is affected by faults of servers. */
    private boolean affected(Server server, FaultKind kind) {
        return servers.indexOf(server) % 3 == 0 && during(kind);
    }

    private void plan(Fault fault) {
        long from = (long) (fault.from() * 1e6);
        long step = (long) ((fault.until() - fault.from()) * 1e6 / 4);
        switch (fault.kind()) {
            case COUNTER_FLUSHED -> schedule(from, counts::clear);
            case SERVERS_DRAIN -> {
                for (int i = 0; i < 3; i++) {
                    Server server = servers.get(i * 3);
                    schedule(from + i * step, () -> change(server, "draining"));
                    schedule(from + (i + 1) * step, () -> change(server, "removed"));
                }
            }
            case SERVERS_RESTART -> {
                for (int i = 0; i < 4; i++) {
                    Server server = servers.get(i * 2);
                    schedule(
                            from + i * step,
                            () -> {
                                server.startedAtUs = nowUs;
                                change(server, "up");
                            });
                }
            }
            case GATEWAY_KILLED -> {
                for (int i = 0; i < 3; i++) {
                    Gateway gateway = gateways.get(i % gateways.size());
                    schedule(
                            from + i * step,
                            () -> {
                                gateway.event("Killed", "");
                                gateway.up = false;
                                gateway.requests.clear();
                            });
                    schedule(from + i * step + 300_000, () -> start(gateway));
                }
            }
            default -> {}
        }
    }

    private void change(Server server, String condition) {
        server.condition = condition;
        for (Gateway gateway : gateways) {
            if (gateway.up && (scenario.discovery().equals("automatic") || gateway.watching)) {
                gateway.later(
                        random.nextInt(200_000), () -> view(gateway, List.of(server), "changes"));
            }
        }
    }

    private void view(Gateway gateway, List<Server> entries, String scope) {
        int sheet = nextSheet++ % 16;
        List<String> records = new ArrayList<>();
        for (Server server : entries) {
            if (scope.equals("changes") || !server.condition.equals("removed")) {
                records.add(server.entry());
            }
        }
        send(
                "{\"Table\":{\"Sheet\":"
                        + sheet
                        + ",\"Records\":["
                        + String.join(",", records)
                        + "]}}");
        gateway.event(
                "View",
                "\"Sheet\":" + sheet + ",\"Scope\":\"" + scope + "\",\"Index\":" + ++version);
    }

    private void start(Gateway gateway) {
        gateway.up = true;
        gateway.watching = false;
        gateway.incarnation++;
        gateway.event(
                "Up", "\"Prng\":" + random.nextInt(1_000_000) + ",\"Options\":" + options(gateway));
        view(gateway, servers, "remembered");
    }

    private String options(Gateway gateway) {
        String caps = scenario.ceilings() ? "\"CapDepth\":20,\"CapRate\":60,\"HardSlack\":2," : "";
        return "{\"Az\":\"z"
                + gateway.number % 3
                + "\",\"Azs\":[\"z0\",\"z1\",\"z2\"],\"Classes\":["
                + classOf("read", "read_like", "all", 1, 0, false)
                + ","
                + classOf("write", "idempotency_key", "zone", 3, 0.2, false)
                + ","
                + classOf("pay", "non_idempotent", "all", 5, 0, false)
                + ","
                + classOf("post", "idempotency_key", "cell", 2, 0, scenario.streamed())
                + "],\"Clients\":{\"MarksRetry\":false},\"Discovery\":\""
                + scenario.discovery()
                + "\",\"Limits\":{\"Cancel\":true,\"MaxAttempts\":3,\"MaxRetryAfterUs\":2000000,\"MayDuplicate\":"
                + scenario.mayDuplicate()
                + ",\"Peers\":true,\"Probes\":false,\"RetryAfter\":true},\"MyNumber\":"
                + gateway.number
                + ",\"NInstances\":"
                + scenario.gateways()
                + ",\"ResultMix\":{\"Whole\":0.6,\"WorstTenant\":0.2},\"Rules\":{\"ColdFrom\":0.3,\"ColdUs\":4000000,"
                + "\"DrainGraceUs\":250000,\"FallMultiple\":2,\"FallUs\":1000000},"
                + "\"Specifics\":{\"CountLimitUs\":50000,\"Counter\":true,\"PostPaid\":"
                + scenario.postPaid()
                + ",\"UnitsTop\":4},\"Tariffs\":["
                + "{\"MostAtOnce\":10,\"Name\":\"small\",\"OverrunCost\":1,\"Price\":1,\"QuotaRate\":8},"
                + "{"
                + caps
                + "\"MostAtOnce\":30,\"Name\":\"large\",\"OverrunCost\":0,\"ExtraWorth\":0.2,\"Price\":2,\"QuotaRate\":25},"
                + "{\"MaxOut\":6,\"Name\":\"open\",\"Price\":1.5}],\"TickUs\":"
                + TICK_US
                + "}";
    }

    private static String classOf(
            String name, String effect, String group, double value, double late, boolean streamed) {
        return "{\"Effect\":\""
                + effect
                + "\",\"Group\":\""
                + group
                + "\",\"HardLimitUs\":1500000,\"LateWorth\":"
                + late
                + ",\"Name\":\""
                + name
                + "\",\"OnTimeUs\":500000,\"Stream\":"
                + streamed
                + ",\"Value\":"
                + value
                + ",\"WindowUs\":800000}";
    }

    private void arrive() {
        double rate = LOAD * scenario.requestsPerSecond() * (during(FaultKind.BURST) ? 4 : 1);
        schedule((long) (-Math.log(1 - random.nextDouble()) * 1e6 / rate), this::arrive);
        long tenant = random.nextInt(9);
        int width = 1 + (int) (tenant % 2) * (scenario.gateways() - 1);
        int first = (int) (tenant % scenario.gateways());
        Gateway gateway = gateways.get((first + random.nextInt(width)) % scenario.gateways());
        String plan = List.of("small", "large", "open").get((int) (tenant % 3));
        String type = List.of("read", "read", "write", "pay", "post").get(random.nextInt(5));
        double units = 1 + random.nextInt(3);
        if (!gateway.up) {
            return;
        }
        long patience = random.nextInt(20) == 0 ? 60_000 : 400_000 + random.nextInt(1_000_000);
        boolean streamed = scenario.streamed() && type.equals("post");
        Request request = new Request(nextRequest++, nowUs + patience, streamed, units);
        gateway.requests.put(request.id, request);
        gateway.event(
                "Request",
                String.format(
                        Locale.ROOT,
                        "\"RequestId\":%d,\"Service\":\"%s\",\"Terms\":\"%s\",\"Customer\":%d,"
                                + "\"ValidUntilUs\":%d,\"Weight\":%s,\"Width\":%d,\"FromNo\":%d",
                        request.id,
                        type,
                        plan,
                        tenant + 1,
                        request.deadlineUs,
                        units,
                        width,
                        first));
        boolean leaves = during(FaultKind.CLIENTS_LEAVE) && random.nextInt(4) == 0;
        long stays = leaves ? random.nextInt((int) patience) : patience + 100_000;
        gateway.later(stays, () -> leave(gateway, request));
    }

    private void leave(Gateway gateway, Request request) {
        if (!request.over && !request.begun) {
            request.over = true;
            gateway.event("ClientLeft", "\"RequestId\":" + request.id);
        }
    }

    private void action(String line) {
        Matcher message = MESSAGE.matcher(line);
        if (!message.matches()) {
            throw new IllegalArgumentException(line);
        }
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(message.group(2));
        while (field.find()) {
            fields.put(field.group(1), field.group(2).replace("\"", ""));
        }
        Gateway gateway = gateways.get(Integer.parseInt(fields.get("I").substring(8)));
        switch (message.group(1)) {
            case "PassOn" -> attempt(gateway, fields);
            case "StopAttempt" -> withdraw(gateway, fields);
            case "Reject", "ReportFailure" ->
                    gateway.requests.get(Long.parseLong(fields.get("RequestId"))).over = true;
            case "Schedule" ->
                    gateway.later(
                            Math.max(TICK_US, Long.parseLong(fields.get("WaitUs"))),
                            () -> gateway.event("Alarm", "\"Name\":" + fields.get("Name")));
            case "Incr" -> increment(gateway, fields);
            case "Watch" -> watch(gateway);
            case "ShutIdle" -> {}
            default -> throw new IllegalArgumentException(line);
        }
    }

    private void watch(Gateway gateway) {
        gateway.later(
                TICK_US + random.nextInt(30_000),
                () -> {
                    if (during(FaultKind.DISCOVERY_REFUSES)) {
                        gateway.watching = false;
                        gateway.event(
                                "View", "\"Sheet\":0,\"Scope\":\"refused\",\"Index\":" + version);
                    } else {
                        gateway.watching = true;
                        view(gateway, servers, "all");
                    }
                });
    }

    private void increment(Gateway gateway, Map<String, String> fields) {
        long name = Long.parseLong(fields.get("Name"));
        double amount = Double.parseDouble(fields.get("N"));
        long sent = nowUs;
        double took = TICK_US + random.nextInt(4_000);
        if (during(FaultKind.COUNTER_REFUSES) && random.nextInt(2) == 0) {
            answer(gateway, name, sent, (long) took, "overloaded", 0);
            return;
        }
        boolean silent =
                during(FaultKind.COUNTER_SILENT)
                        || during(FaultKind.COUNTER_LATE) && random.nextInt(3) > 0;
        if (silent || random.nextInt(200) == 0) {
            if (random.nextBoolean()) {
                counts.merge(name, amount, Double::sum);
            }
            answer(gateway, name, sent, 50_000, "timed_out", 0);
            return;
        }
        if (during(FaultKind.CONNECTIONS_BREAK) && random.nextInt(10) == 0) {
            answer(gateway, name, sent, (long) took, "unreachable", 0);
            return;
        }
        answer(
                gateway,
                name,
                sent,
                (long) took,
                "success",
                counts.merge(name, amount, Double::sum));
    }

    private void answer(
            Gateway gateway, long name, long sent, long took, String how, double total) {
        String value = how.equals("success") ? ",\"NowAt\":" + total : "";
        gateway.later(
                took,
                () ->
                        gateway.event(
                                "Added",
                                "\"TookUs\":"
                                        + (nowUs - sent)
                                        + ",\"Name\":"
                                        + name
                                        + ",\"How\":\""
                                        + how
                                        + "\""
                                        + value));
    }

    private void withdraw(Gateway gateway, Map<String, String> fields) {
        Request request = gateway.requests.get(Long.parseLong(fields.get("RequestId")));
        int number = Integer.parseInt(fields.get("Hop"));
        gateway.later(TICK_US, () -> finish(gateway, request, number, "withdrawn"));
    }

    private void attempt(Gateway gateway, Map<String, String> fields) {
        Request request = gateway.requests.get(Long.parseLong(fields.get("RequestId")));
        String id = fields.get("Server");
        Server server = servers.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
        int number = request.attempts.size();
        Attempt attempt = new Attempt(server, nowUs);
        request.attempts.add(attempt);
        long cap = Long.parseLong(fields.get("CapUs"));
        long limit = Math.max(0, request.deadlineUs - nowUs);
        long wait = cap > 0 ? Math.min(cap, limit) : limit;
        if (request.over) {
            gateway.later(TICK_US, () -> finish(gateway, request, number, "void"));
            return;
        }
        server.running++;
        double speed = server.startedAtUs > nowUs - 4_000_000 ? 0.5 : 1;
        double mean = 25_000 * request.units * (1 + 0.15 * server.running) / speed;
        if (affected(server, FaultKind.SERVERS_SLOW)) {
            mean *= 8;
        }
        long took = TICK_US + (long) (-Math.log(1 - random.nextDouble()) * mean);
        String outcome = "success";
        if (!server.condition.equals("up")
                || server.running > 14
                || affected(server, FaultKind.SERVERS_REFUSE)) {
            outcome = "overloaded";
            took = TICK_US;
        } else if (affected(server, FaultKind.SERVERS_UNREACHABLE)) {
            outcome = "unreachable";
            took = 3 * TICK_US;
        } else if (affected(server, FaultKind.SERVERS_FAIL)) {
            outcome = random.nextInt(3) > 0 ? "failure" : "broken";
            took = TICK_US + random.nextInt(5_000);
        } else if (during(FaultKind.CONNECTIONS_BREAK) && random.nextInt(6) == 0) {
            outcome = "broken";
        } else if (affected(server, FaultKind.SERVERS_HANG)) {
            took = Long.MAX_VALUE / 4;
        }
        String how = outcome;
        if (request.streamed && outcome.equals("success") && took < wait) {
            gateway.later(took / 2, () -> begin(gateway, request, number));
        }
        if (took < wait) {
            gateway.later(took, () -> finish(gateway, request, number, how));
        }
        gateway.later(
                wait,
                () -> {
                    if (!request.begun) {
                        finish(gateway, request, number, "timed_out");
                    }
                });
    }

    private void begin(Gateway gateway, Request request, int number) {
        Attempt attempt = request.attempts.get(number);
        if (request.over || attempt.ended || request.begun) {
            return;
        }
        request.begun = true;
        gateway.event(
                "Begun",
                "\"RequestId\":"
                        + request.id
                        + ",\"Hop\":"
                        + number
                        + ",\"Server\":\""
                        + attempt.server.id
                        + "\",\"TookUs\":"
                        + (nowUs - attempt.sentAtUs));
    }

    private void finish(Gateway gateway, Request request, int number, String how) {
        Attempt attempt = request.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.running = Math.max(0, attempt.server.running - 1);
        boolean settled = how.equals("success") && !request.over && scenario.postPaid();
        if (how.equals("success") || request.begun) {
            request.over = true;
        }
        String extra = settled ? ",\"Settled\":" + (1 + random.nextInt(4)) : "";
        gateway.event(
                "Finished",
                "\"RequestId\":"
                        + request.id
                        + ",\"Hop\":"
                        + number
                        + ",\"Server\":\""
                        + attempt.server.id
                        + "\",\"How\":\""
                        + how
                        + "\",\"TookUs\":"
                        + (nowUs - attempt.sentAtUs)
                        + (request.over ? ",\"Ended\":true" : "")
                        + extra);
    }
}
