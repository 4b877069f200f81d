package tinford.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.api.RequestClass;
import tinford.lab.scale.count.Cost;
import tinford.lab.scale.count.LiveHeap;
import tinford.lab.scale.gateway.DrivenGateway;
import tinford.lab.scale.gateway.DrivenGateways;
import tinford.lab.scale.gateway.ServerLists;
import tinford.lab.scale.gateway.Traffic;
import tinford.protocol.ChunkedLineReader;
import tinford.protocol.EndpointListLimit;
import tinford.protocol.JsonObjectSplitter;
import tinford.protocol.ProtocolException;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;

/**
 * What the decisions and the server table of one gateway cost, by servers, tenants and routes. The
 * real classes run in virtual time; counted columns come from a second copy of them with counting
 * woven in ({@link tinford.lab.scale.count.CountingClassLoader}).
 */
public final class DecisionMeasurements {
    private static final int[] SERVERS_FULL = {60, 300, 1500, 6000};
    private static final int[] SERVERS_SMALL = {50, 100, 200, 400, 800};
    private static final int[] TENANTS_FULL = {1000, 3500, 7000, 14_000};
    private static final int[] TENANTS_SMALL = {200, 400, 800, 1600};
    private static final int[] ROUTES_FULL = {150, 400, 800, 1500};
    private static final int[] ROUTES_SMALL = {100, 200, 400, 800};
    private static final int TENANTS_OF_TRAFFIC = 200;

    /** Two seconds of traffic: the records of the last four seconds hold some answers. */
    private static final int REQUESTS_BEFORE = (int) (2 * Traffic.REQUESTS_A_SECOND);

    private static final int MEASURED_REQUESTS = 100;

    /** Times are the median of so many. */
    private static final int TIMED_ROUNDS = 15;

    private static final int WARM_UP_ROUNDS = 10;

    private static final double ROUND_GAP_MS = 60;

    private static final int MAX_LIST_BYTES =
            EndpointListLimit.maxBytes(Runtime.getRuntime().maxMemory());

    private DecisionMeasurements() {}

    /** All of this area. */
    public static List<Measurement> all() {
        return List.of(
                byServers("decisions.ranking", Growth.N_LOG_N, DecisionMeasurements::ranking),
                byServers("decisions.changed-entry", Growth.N_LOG_N, DecisionMeasurements::change),
                byServers("decisions.whole-list", Growth.N_LOG_N, DecisionMeasurements::wholeList),
                byServers("decisions.list-text", Growth.LINEAR, DecisionMeasurements::listText),
                byServers("decisions.request", Growth.LINEAR, DecisionMeasurements::request),
                byServers("decisions.longest-turn", Growth.N_LOG_N, DecisionMeasurements::longest),
                byServers("decisions.heap-servers", Growth.LINEAR, DecisionMeasurements::servers),
                new TableMeasurement(
                        "decisions.heap-tenants",
                        "tenants",
                        TENANTS_SMALL,
                        TENANTS_FULL,
                        Growth.LINEAR,
                        DecisionMeasurements::tenants),
                new TableMeasurement(
                        "decisions.heap-routes",
                        "routes",
                        ROUTES_SMALL,
                        ROUTES_FULL,
                        Growth.LINEAR,
                        DecisionMeasurements::routes));
    }

    private static Measurement byServers(String name, Growth expected, TableMeasurement.Play play) {
        return new TableMeasurement(name, "servers", SERVERS_SMALL, SERVERS_FULL, expected, play);
    }

    private static Sample ranking(int servers, UniformRandomProvider random) throws Exception {
        Cost counted;
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            counted = gateway.onIoThread(() -> underTraffic(gateway, servers, random).rank());
        }
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            Cost timed =
                    gateway.onIoThread(
                            () -> {
                                underTraffic(gateway, servers, random);
                                return median(gateway::rank);
                            });
            return new Sample(operations(counted), times(timed));
        }
    }

    private static Sample change(int servers, UniformRandomProvider random) throws Exception {
        Cost counted;
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            counted =
                    gateway.onIoThread(
                            () -> changeOne(underTraffic(gateway, servers, random), servers / 2));
        }
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            Cost timed =
                    gateway.onIoThread(
                            () -> {
                                underTraffic(gateway, servers, random);
                                return median(() -> changeOne(gateway, random.nextInt(servers)));
                            });
            return new Sample(operations(counted), times(timed));
        }
    }

    /** The server drains, and is ready again a moment later; the second is measured. */
    private static Cost changeOne(DrivenGateway gateway, int number) {
        gateway.list(ServerLists.read(ServerLists.changed(number, false)));
        gateway.pass(ROUND_GAP_MS);
        JsonFields change = ServerLists.read(ServerLists.changed(number, true));
        return Cost.of(() -> gateway.list(change));
    }

    private static Sample wholeList(int servers, UniformRandomProvider random) throws Exception {
        Cost counted;
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            counted =
                    gateway.onIoThread(
                            () -> listAgain(underTraffic(gateway, servers, random), servers));
        }
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            Cost timed =
                    gateway.onIoThread(
                            () -> {
                                underTraffic(gateway, servers, random);
                                return median(() -> listAgain(gateway, servers));
                            });
            return new Sample(operations(counted), times(timed));
        }
    }

    /** The whole list once more, with nothing changed. */
    private static Cost listAgain(DrivenGateway gateway, int servers) {
        JsonFields list = ServerLists.read(ServerLists.whole(servers));
        gateway.pass(ROUND_GAP_MS);
        return Cost.of(() -> gateway.list(list));
    }

    /** From the bytes of discovery's answer to the fields that the server table takes. */
    private static Sample listText(int servers, UniformRandomProvider random) {
        String list = ServerLists.whole(servers);
        byte[] answer = httpAnswer(list);
        Cost timed = median(() -> Cost.of(() -> readAnswer(answer)));
        return new Sample(Map.of("list_bytes", (double) list.length()), times(timed));
    }

    private static byte[] httpAnswer(String list) {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunk = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
        return (head + chunk).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void readAnswer(byte[] answer) {
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MAX_LIST_BYTES);
        List<JsonFields> read = new ArrayList<>();
        try {
            new ChunkedLineReader(MAX_LIST_BYTES)
                    .read(
                            answer,
                            0,
                            answer.length,
                            line -> read.add(ServerLists.read(take(objects, line))));
        } catch (ProtocolException e) {
            throw new IllegalStateException("a list of servers is refused", e);
        }
        if (read.size() != 1) {
            throw new IllegalStateException("one list, not " + read.size());
        }
    }

    private static String take(JsonObjectSplitter objects, String line) {
        try {
            return objects.addLine(line);
        } catch (ProtocolException e) {
            throw new IllegalStateException("a list of servers is refused", e);
        }
    }

    /** Of a steady flow, with all servers warm and after the restart of one of five zones. */
    private static Sample request(int servers, UniformRandomProvider random) throws Exception {
        Map<String, Double> counted = new TreeMap<>();
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            Cost warm = gateway.onIoThread(() -> requests(gateway, servers, 0, random));
            counted.put("operations", (double) warm.operations() / MEASURED_REQUESTS);
        }
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            int cold = servers / ServerLists.ZONES;
            Cost zone = gateway.onIoThread(() -> requests(gateway, servers, cold, random));
            counted.put("operations_zone_cold", (double) zone.operations() / MEASURED_REQUESTS);
        }
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            Cost timed = gateway.onIoThread(() -> requests(gateway, servers, 0, random));
            return new Sample(counted, micros(timed));
        }
    }

    private static Map<String, Double> micros(Cost cost) {
        return Map.of("micros", cost.millis() * 1000 / MEASURED_REQUESTS);
    }

    /** A steady flow; the rounds of the timer are left out. */
    private static Cost requests(
            DrivenGateway gateway, int servers, int cold, UniformRandomProvider random) {
        underTraffic(gateway, servers, random);
        if (cold > 0) {
            gateway.list(ServerLists.read(ServerLists.restarted(servers, cold, gateway.now())));
        }
        Traffic traffic = new Traffic(TENANTS_OF_TRAFFIC, random);
        gateway.resetRounds();
        traffic.play(gateway, MEASURED_REQUESTS);
        return gateway.requestRounds();
    }

    private static Sample longest(int servers, UniformRandomProvider random) throws Exception {
        Cost counted;
        try (DrivenGateway gateway = DrivenGateways.counted(Traffic.GATEWAYS, random)) {
            counted = gateway.onIoThread(() -> largestRound(gateway, servers, random));
        }
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            Cost timed = gateway.onIoThread(() -> largestRound(gateway, servers, random));
            return new Sample(operations(counted), times(timed));
        }
    }

    /** Of a second of traffic, the rounds of the timer included. */
    private static Cost largestRound(
            DrivenGateway gateway, int servers, UniformRandomProvider random) {
        underTraffic(gateway, servers, random);
        gateway.resetRounds();
        Traffic traffic = new Traffic(TENANTS_OF_TRAFFIC, random);
        traffic.play(gateway, (int) Traffic.REQUESTS_A_SECOND);
        return gateway.largestRound();
    }

    private static Sample servers(int servers, UniformRandomProvider random) throws Exception {
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            list(gateway, 1);
            LiveHeap before = LiveHeap.now();
            list(gateway, 1 + servers);
            return heap(LiveHeap.now().since(before));
        }
    }

    private static void list(DrivenGateway gateway, int servers) throws Exception {
        gateway.onIoThread(
                () -> {
                    gateway.list(ServerLists.read(ServerLists.whole(servers)));
                    return null;
                });
    }

    private static Sample tenants(int tenants, UniformRandomProvider random) throws Exception {
        Traffic traffic = new Traffic(1 + tenants, random);
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            list(gateway, 20);
            requestOfEach(gateway, traffic, 0, 1);
            LiveHeap before = LiveHeap.now();
            requestOfEach(gateway, traffic, 1, 1 + tenants);
            return heap(LiveHeap.now().since(before));
        }
    }

    /** One request of each, whose dispatches have all ended. */
    private static void requestOfEach(DrivenGateway gateway, Traffic traffic, int from, int to)
            throws Exception {
        gateway.onIoThread(
                () -> {
                    for (int customer = from; customer < to; customer++) {
                        traffic.request(gateway, customer);
                        gateway.pass(1000 / Traffic.REQUESTS_A_SECOND);
                    }
                    gateway.pass(1000);
                    return null;
                });
    }

    /** The routes and the settings that they are read from, which the program keeps as well. */
    private static Sample routes(int routes, UniformRandomProvider random) throws Exception {
        String text = routesText(routes);
        LiveHeap before = LiveHeap.now();
        JsonFields settings = JsonFields.of(new JsonFactory(), "settings", text);
        Map<String, RequestClass> frontends = SettingsReader.requestClasses(settings);
        LiveHeap held = LiveHeap.now().since(before);
        if (frontends.size() != settings.objects("Classes").size()) {
            throw new IllegalStateException("both are held until here");
        }
        return heap(held);
    }

    private static String routesText(int routes) {
        StringBuilder text = new StringBuilder("{\"Classes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"Name\":\"route-")
                    .append(i)
                    .append("\",\"HardLimitUs\":2000000,\"OnTimeUs\":200000,")
                    .append("\"Effect\":\"read_like\"}");
        }
        return text.append("]}").toString();
    }

    private static Sample heap(LiveHeap held) {
        return new Sample(
                Map.of("live_bytes", (double) held.bytes(), "objects", (double) held.objects()),
                Map.of());
    }

    private static DrivenGateway underTraffic(
            DrivenGateway gateway, int servers, UniformRandomProvider random) {
        gateway.list(ServerLists.read(ServerLists.whole(servers)));
        new Traffic(TENANTS_OF_TRAFFIC, random).play(gateway, REQUESTS_BEFORE);
        return gateway;
    }

    private static Map<String, Double> operations(Cost cost) {
        return Map.of(
                "operations",
                (double) cost.operations(),
                "elements_searched",
                (double) cost.elements());
    }

    private static Map<String, Double> times(Cost cost) {
        return Map.of("millis", cost.millis(), "allocated_bytes", (double) cost.allocatedBytes());
    }

    /** After a warm-up: the loops are interpreted until they have run long enough. */
    private static Cost median(Supplier<Cost> work) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            work.get();
        }
        List<Cost> costs = new ArrayList<>();
        for (int i = 0; i < TIMED_ROUNDS; i++) {
            costs.add(work.get());
        }
        costs.sort((a, b) -> Long.compare(a.nanos(), b.nanos()));
        return costs.get(TIMED_ROUNDS / 2);
    }
}
