package tinford.lab.scale;

import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.lab.scale.gateway.ConnectionModel;
import tinford.lab.scale.gateway.DrivenGateway;
import tinford.lab.scale.gateway.DrivenGateways;
import tinford.lab.scale.gateway.ServerLists;
import tinford.lab.scale.gateway.Traffic;

/**
 * Which servers one gateway of the deployment uses at its part of the peak, by services of twenty
 * servers each. Real decisions in virtual time; the connections are a model of the server table's.
 * Each server answers in 20 ms on average, whatever the other gateways do.
 */
public final class ServerChoiceMeasurements {
    private static final int SERVERS_A_SERVICE = 20;
    private static final int[] SERVICES_FULL = {3, 15, 75, 300};
    private static final int[] SERVICES_SMALL = {2, 4, 8, 16};
    private static final int TENANTS = 200;
    private static final double WARM_UP_SECONDS = 10;
    private static final double MEASURED_SECONDS = 30;
    private static final int OBSERVATIONS = 10;

    /** After so long a server closes an idle connection. */
    private static final double IDLE_MOST_MS = 15_000;

    private ServerChoiceMeasurements() {}

    /** All of this area. */
    public static List<Measurement> all() {
        return List.of(
                byServices("server-choice.one-order", ServerChoiceMeasurements::oneOrder),
                byServices("server-choice.order-a-service", ServerChoiceMeasurements::ownOrder));
    }

    private static Measurement byServices(String name, TableMeasurement.Play play) {
        return new TableMeasurement(
                name, "services", SERVICES_SMALL, SERVICES_FULL, Growth.LINEAR, play);
    }

    /** As it is: all routes share one order of all servers. */
    private static Sample oneOrder(int services, UniformRandomProvider random) throws Exception {
        int servers = services * SERVERS_A_SERVICE;
        return sample(play(servers, Traffic.REQUESTS_A_SECOND, random), services, 1);
    }

    /** As it might be: each service has an order of its own, and its even part of the requests. */
    private static Sample ownOrder(int services, UniformRandomProvider random) throws Exception {
        double rate = Traffic.REQUESTS_A_SECOND / services;
        return sample(play(SERVERS_A_SERVICE, rate, random), services, services);
    }

    /**
     * What one gateway was seen to do.
     *
     * @param meanOpen connections open, over the measured time
     */
    private record Observed(ConnectionModel connections, double meanOpen) {}

    private static Observed play(int servers, double rate, UniformRandomProvider random)
            throws Exception {
        try (DrivenGateway gateway = DrivenGateways.timed(Traffic.GATEWAYS, random)) {
            ConnectionModel connections = new ConnectionModel(IDLE_MOST_MS);
            gateway.onDispatch(connections);
            return gateway.onIoThread(
                    () -> {
                        gateway.list(ServerLists.read(ServerLists.whole(servers)));
                        Traffic traffic = new Traffic(TENANTS, rate, random);
                        traffic.play(gateway, (int) Math.ceil(WARM_UP_SECONDS * rate));
                        connections.restartCounts();
                        return new Observed(connections, meanOpen(gateway, traffic, connections));
                    });
        }
    }

    private static double meanOpen(
            DrivenGateway gateway, Traffic traffic, ConnectionModel connections) {
        double open = 0;
        double requests = MEASURED_SECONDS * traffic.requestsASecond() / OBSERVATIONS;
        for (int i = 0; i < OBSERVATIONS; i++) {
            traffic.play(gateway, (int) Math.ceil(requests));
            open += connections.open(gateway.now());
        }
        return open / OBSERVATIONS;
    }

    /**
     * @param orders how many orders like the observed one the gateway keeps
     */
    private static Sample sample(Observed observed, int services, int orders) {
        ConnectionModel connections = observed.connections();
        double servers = (double) services * SERVERS_A_SERVICE;
        double met = (double) connections.serversMet() * orders;
        double open = observed.meanOpen() * orders;
        double rate = connections.dispatched() * orders / MEASURED_SECONDS;
        return new Sample(
                Map.of(
                        "servers_met",
                        met,
                        "requests_a_second_and_server_met",
                        rate / met,
                        "requests_a_second_at_most_met_server",
                        connections.mostRequests() / MEASURED_SECONDS,
                        "connections_open",
                        open,
                        "connections_at_a_server_from_530",
                        open * Traffic.GATEWAYS / servers,
                        "gateways_met_by_a_server",
                        met * Traffic.GATEWAYS / servers,
                        "new_connection_share",
                        connections.newConnectionShare()),
                Map.of());
    }
}
