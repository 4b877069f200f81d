package tinford.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinford.simulator.RecordingScenario.Fault;
import tinford.simulator.RecordingScenario.FaultKind;

/**
 * A deployment of a recording: generates the events of clients, discovery and faults, and carries
 * out the actions of the gateways.
 */
final class ScriptedDeployment {
    private static final Pattern MESSAGE = Pattern.compile("\\{\"(\\w+)\":\\{(.*)\\}\\}");
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(\"[^\"]*\"|[^,\"]+)");
    private static final double US_PER_S = 1e6;
    private static final long FIRST_START_US = 1_000;
    private static final long FIRST_REQUEST_US = 20_000;
    private static final long RESTART_DELAY_US = 300_000;
    private static final int MAX_WATCH_EVENT_DELAY_US = 200_000;
    private static final int ENDPOINT_LIST_NUMBERS = 16;

    /** Factor on the scenario's requests per second, which saturates quotas and servers. */
    private static final double LOAD_FACTOR = 2.2;

    private static final double BURST_FACTOR = 4;

    private final Recording recording;
    private final RecordingScenario scenario;
    private final ScriptedServers servers;
    private final ScriptedCounter counter;
    private final List<ScriptedGateway> gateways = new ArrayList<>();
    private long nextRequestId = 1;
    private int nextEndpointList;
    private int endpointListVersion;

    ScriptedDeployment(Recording recording) {
        this.recording = recording;
        this.scenario = recording.scenario;
        this.servers = new ScriptedServers(recording);
        this.counter = new ScriptedCounter(recording);
        for (int i = 0; i < scenario.gatewayCount(); i++) {
            gateways.add(new ScriptedGateway(recording, i));
        }
        for (ScriptedGateway gateway : gateways) {
            recording.timeline.schedule(FIRST_START_US, () -> start(gateway));
        }
        recording.timeline.schedule(FIRST_REQUEST_US, this::sendNextRequest);
        scenario.faults().forEach(this::scheduleFault);
    }

    private void scheduleFault(Fault fault) {
        long fromUs = (long) (fault.fromS() * US_PER_S);
        long stepUs = (long) ((fault.untilS() - fault.fromS()) * US_PER_S / 4);
        switch (fault.kind()) {
            case COUNTER_RESET -> recording.timeline.schedule(fromUs, counter::reset);
            case SERVERS_DRAIN -> scheduleDrains(fromUs, stepUs);
            case SERVERS_RESTART -> scheduleServerRestarts(fromUs, stepUs);
            case GATEWAYS_KILLED -> scheduleGatewayRestarts(fromUs, stepUs);
            default -> {
                // applied while active, see Recording.isDuring
            }
        }
    }

    private void scheduleDrains(long fromUs, long stepUs) {
        for (int i = 0; i < 3; i++) {
            ScriptedServer server = servers.get(i * 3);
            recording.timeline.schedule(
                    fromUs + i * stepUs, () -> changeCondition(server, "draining"));
            recording.timeline.schedule(
                    fromUs + (i + 1) * stepUs, () -> changeCondition(server, "removed"));
        }
    }

    private void scheduleServerRestarts(long fromUs, long stepUs) {
        for (int i = 0; i < 4; i++) {
            ScriptedServer server = servers.get(i * 2);
            recording.timeline.schedule(
                    fromUs + i * stepUs,
                    () -> {
                        server.startedAtUs = recording.timeline.nowUs();
                        changeCondition(server, "up");
                    });
        }
    }

    private void scheduleGatewayRestarts(long fromUs, long stepUs) {
        for (int i = 0; i < 3; i++) {
            ScriptedGateway gateway = gateways.get(i % gateways.size());
            recording.timeline.schedule(fromUs + i * stepUs, gateway::kill);
            recording.timeline.schedule(
                    fromUs + i * stepUs + RESTART_DELAY_US, () -> start(gateway));
        }
    }

    private void start(ScriptedGateway gateway) {
        gateway.start();
        gateway.sendEvent(
                "Up",
                "\"Prng\":"
                        + recording.random.nextInt(1_000_000)
                        + ",\"Options\":"
                        + ScriptedSettings.of(scenario, gateway));
        sendEndpoints(gateway, servers.all(), "remembered");
    }

    private void changeCondition(ScriptedServer server, String condition) {
        server.condition = condition;
        for (ScriptedGateway gateway : gateways) {
            if (gateway.up && (!scenario.isWatchRequired() || gateway.watching)) {
                gateway.schedule(
                        recording.random.nextInt(MAX_WATCH_EVENT_DELAY_US),
                        () -> sendEndpoints(gateway, List.of(server), "changes"));
            }
        }
    }

    private void sendEndpoints(
            ScriptedGateway gateway, List<ScriptedServer> entries, String scope) {
        int number = nextEndpointList % ENDPOINT_LIST_NUMBERS;
        nextEndpointList++;
        List<String> records = new ArrayList<>();
        for (ScriptedServer server : entries) {
            if (scope.equals("changes") || !server.isRemoved()) {
                records.add(server.entry());
            }
        }
        recording.send(
                "{\"Table\":{\"Sheet\":"
                        + number
                        + ",\"Records\":["
                        + String.join(",", records)
                        + "]}}");
        endpointListVersion++;
        sendView(gateway, number, scope);
    }

    private void sendView(ScriptedGateway gateway, int number, String scope) {
        gateway.sendEvent(
                "View",
                "\"Sheet\":"
                        + number
                        + ",\"Scope\":\""
                        + scope
                        + "\",\"Index\":"
                        + endpointListVersion);
    }

    private void sendNextRequest() {
        double burst = recording.isDuring(FaultKind.BURST) ? BURST_FACTOR : 1;
        double requestsPerSecond = LOAD_FACTOR * scenario.requestsPerSecond() * burst;
        recording.timeline.schedule(
                (long) (recording.exponential(US_PER_S) / requestsPerSecond),
                this::sendNextRequest);
        long tenant = recording.random.nextInt(9);
        int fanIn = 1 + (int) (tenant % 2) * (scenario.gatewayCount() - 1);
        int firstGateway = (int) (tenant % scenario.gatewayCount());
        int number = (firstGateway + recording.random.nextInt(fanIn)) % scenario.gatewayCount();
        ScriptedGateway gateway = gateways.get(number);
        String requestClass =
                List.of("read", "read", "write", "pay", "post").get(recording.random.nextInt(5));
        double units = 1 + recording.random.nextInt(3);
        if (!gateway.up) {
            return;
        }
        boolean shortTimeout = recording.random.nextInt(20) == 0;
        long timeoutUs = shortTimeout ? 60_000 : 400_000 + recording.random.nextInt(1_000_000);
        boolean streamed = scenario.isStreamed() && requestClass.equals("post");
        ScriptedRequest request =
                new ScriptedRequest(
                        nextRequestId, recording.timeline.nowUs() + timeoutUs, streamed, units);
        nextRequestId++;
        gateway.requests.put(request.id, request);
        sendRequest(gateway, request, requestClass, tenant, fanIn, firstGateway);
        boolean disconnects =
                recording.isDuring(FaultKind.CLIENTS_DISCONNECT)
                        && recording.random.nextInt(4) == 0;
        long disconnectDelayUs =
                disconnects ? recording.random.nextInt((int) timeoutUs) : timeoutUs + 100_000;
        gateway.schedule(disconnectDelayUs, () -> disconnect(gateway, request));
    }

    private static void sendRequest(
            ScriptedGateway gateway,
            ScriptedRequest request,
            String requestClass,
            long tenant,
            int fanIn,
            int firstGateway) {
        String plan = List.of("small", "large", "open").get((int) (tenant % 3));
        gateway.sendEvent(
                "Request",
                String.format(
                        Locale.ROOT,
                        "\"RequestId\":%d,\"Service\":\"%s\",\"Terms\":\"%s\",\"Customer\":%d,"
                                + "\"ValidUntilUs\":%d,\"Weight\":%s,\"Width\":%d,\"FromNo\":%d",
                        request.id,
                        requestClass,
                        plan,
                        tenant + 1,
                        request.deadlineUs,
                        request.units,
                        fanIn,
                        firstGateway));
    }

    private static void disconnect(ScriptedGateway gateway, ScriptedRequest request) {
        if (!request.over && !request.responseStarted) {
            request.over = true;
            gateway.sendEvent("ClientLeft", "\"RequestId\":" + request.id);
        }
    }

    /**
     * Carries out an action.
     *
     * @param line a message of a gateway's reply
     */
    void handleAction(String line) {
        Matcher message = MESSAGE.matcher(line);
        if (!message.matches()) {
            throw new IllegalArgumentException("expected a message, got: " + line);
        }
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(message.group(2));
        while (field.find()) {
            fields.put(field.group(1), field.group(2).replace("\"", ""));
        }
        String gatewayNumber = fields.get("I").substring("gateway_".length());
        ScriptedGateway gateway = gateways.get(Integer.parseInt(gatewayNumber));
        handleAction(message.group(1), gateway, fields);
    }

    private void handleAction(String type, ScriptedGateway gateway, Map<String, String> fields) {
        switch (type) {
            case "PassOn" ->
                    servers.startAttempt(
                            gateway,
                            request(gateway, fields),
                            fields.get("Server"),
                            Long.parseLong(fields.get("CapUs")));
            case "StopAttempt" -> cancelAttempt(gateway, fields);
            case "Reject", "ReportFailure" -> request(gateway, fields).over = true;
            case "Schedule" -> setTimer(gateway, fields);
            case "Incr" ->
                    counter.increment(
                            gateway,
                            Long.parseLong(fields.get("Name")),
                            Double.parseDouble(fields.get("N")));
            case "Watch" -> watch(gateway);
            case "ShutIdle" -> {
                // the recording has no idle connections
            }
            default -> throw new IllegalArgumentException("unknown action: " + type);
        }
    }

    private static ScriptedRequest request(ScriptedGateway gateway, Map<String, String> fields) {
        return gateway.requests.get(Long.parseLong(fields.get("RequestId")));
    }

    private void cancelAttempt(ScriptedGateway gateway, Map<String, String> fields) {
        ScriptedRequest request = request(gateway, fields);
        int number = Integer.parseInt(fields.get("Hop"));
        gateway.schedule(
                ScriptedTimeline.TICK_US,
                () -> servers.endAttempt(gateway, request, number, "withdrawn"));
    }

    private static void setTimer(ScriptedGateway gateway, Map<String, String> fields) {
        long delayUs = Math.max(ScriptedTimeline.TICK_US, Long.parseLong(fields.get("WaitUs")));
        gateway.schedule(
                delayUs, () -> gateway.sendEvent("Alarm", "\"Name\":" + fields.get("Name")));
    }

    private void watch(ScriptedGateway gateway) {
        gateway.schedule(
                ScriptedTimeline.TICK_US + recording.random.nextInt(30_000),
                () -> {
                    boolean fails = recording.isDuring(FaultKind.DISCOVERY_FAILS);
                    gateway.watching = !fails;
                    if (fails) {
                        sendView(gateway, 0, "refused");
                    } else {
                        sendEndpoints(gateway, servers.all(), "all");
                    }
                });
    }
}
