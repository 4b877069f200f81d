package tinford.lab.sockets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tinford.api.Server;

/** Discovery for all gateways: one watch each, told of changes late. */
final class DiscoveryStandIn {
    private static final double HEARTBEAT_EVERY = 2000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BenchContext context;
    private final Collection<ServerStandIn> servers;

    /** By gateway. */
    private final List<ServerSocket> listeners = new ArrayList<>();

    private final Map<RespConnection, Integer> watches = new ConcurrentHashMap<>();
    private int sequence = 1;

    DiscoveryStandIn(BenchContext context, Collection<ServerStandIn> servers) throws IOException {
        this.context = context;
        this.servers = servers;
        for (int i = 0; i < context.scenario.gateways(); i++) {
            int gateway = i;
            ServerSocket listener = BenchContext.listen();
            listeners.add(listener);
            context.accept(listener, wire -> context.pool.execute(() -> beginWatch(wire, gateway)));
        }
        context.live.post(this::heartbeat);
    }

    int port(int gateway) {
        return listeners.get(gateway).getLocalPort();
    }

    private void beginWatch(RespConnection wire, int gateway) {
        try {
            skipHeaders(wire);
            wire.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            context.live.post(
                    () -> {
                        watches.put(wire, gateway);
                        send(wire, list(gateway, servers, true));
                    });
        } catch (IOException e) {
            wire.close();
        }
    }

    private static void skipHeaders(RespConnection wire) throws IOException {
        String line = wire.line();
        while (line != null && !line.isEmpty()) {
            line = wire.line();
        }
    }

    private void heartbeat() {
        watches.keySet().forEach(wire -> send(wire, ""));
        context.live.agenda().after(HEARTBEAT_EVERY, this::heartbeat);
    }

    void changed(ServerStandIn server) {
        sequence++;
        watches.forEach((wire, gateway) -> send(wire, list(gateway, List.of(server), false)));
    }

    private void send(RespConnection wire, String text) {
        try {
            wire.say(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
        } catch (IOException e) {
            watches.remove(wire);
            wire.close();
        }
    }

    private String list(int gateway, Collection<ServerStandIn> some, boolean whole) {
        List<Object> hosts = new ArrayList<>();
        some.forEach(server -> hosts.add(host(gateway, server)));
        try {
            return JSON.writeValueAsString(Map.of("seq", sequence, "whole", whole, "hosts", hosts));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private Map<String, Object> host(int gateway, ServerStandIn server) {
        String id = server.machine().id;
        int port = context.between.server(gateway, id, server.port());
        return Map.of(
                "host",
                id,
                "dial",
                BenchContext.address(port),
                "site",
                server.machine().zone,
                "class",
                context.between.group(id),
                "block",
                server.machine().cell,
                "share",
                1.0,
                "health",
                health(server.state()),
                "born_ms",
                server.machine().born);
    }

    private static String health(Server.State state) {
        return switch (state) {
            case UP -> "ready";
            case DRAINING -> "draining";
            default -> "gone";
        };
    }

    void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
