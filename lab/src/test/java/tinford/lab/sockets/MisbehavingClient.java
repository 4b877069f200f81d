package tinford.lab.sockets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway that sends each request to the next server of its first list and passes on what comes,
 * but for one fault.
 */
public final class MisbehavingClient {
    private static final AtomicInteger NEXT = new AtomicInteger();

    private MisbehavingClient() {}

    public static void main(String[] args) throws Exception {
        JsonNode config =
                new ObjectMapper().readTree(Path.of(System.getenv("ROUTER_CONFIG")).toFile());
        List<Integer> servers = new ArrayList<>();
        try (RespConnection discovery =
                new RespConnection(
                        new Socket(InetAddress.getLoopbackAddress(), port(config, "discovery")))) {
            discovery.say("GET /registry/instances?watch=1&after=0 HTTP/1.1\r\n\r\n");
            String line = discovery.line();
            while (!line.startsWith("{")) {
                line = discovery.line();
            }
            for (JsonNode h : new ObjectMapper().readTree(line).get("hosts")) {
                servers.add(Integer.parseInt(h.get("dial").asText().split(":")[1]));
            }
        }
        try (ServerSocket door =
                new ServerSocket(port(config, "listen"), 200, InetAddress.getLoopbackAddress())) {
            while (true) {
                RespConnection client = new RespConnection(door.accept());
                Thread t = new Thread(() -> talk(client, servers, args[0]));
                t.start();
            }
        }
    }

    private static int port(JsonNode config, String field) {
        return Integer.parseInt(config.get(field).asText().split(":")[1]);
    }

    private static void talk(RespConnection client, List<Integer> servers, String fault) {
        try (client) {
            for (String[] words = client.words(); words != null; words = client.words()) {
                client.say(words.length == 1 ? "+PONG\r\n" : answer(words, servers, fault));
            }
        } catch (IOException | InterruptedException e) {
            // the client has gone
        }
    }

    private static String answer(String[] words, List<Integer> servers, String fault)
            throws IOException, InterruptedException {
        int n = NEXT.getAndIncrement();
        if (fault.equals("silent") && n % 20 == 0) {
            Thread.sleep(60_000);
        }
        if (fault.equals("invents") && n % 20 == 0) {
            return "$4\r\nmine\r\n";
        }
        RespConnection copy = null;
        if (fault.equals("copies") && n % 20 == 0) {
            copy =
                    new RespConnection(
                            new Socket(
                                    InetAddress.getLoopbackAddress(),
                                    servers.get((n + 1) % servers.size())));
            copy.say(RespConnection.command(words));
        }
        for (int i = 0; i < 2; i++) {
            try (RespConnection server =
                    new RespConnection(
                            new Socket(
                                    InetAddress.getLoopbackAddress(),
                                    servers.get((n + i) % servers.size())))) {
                server.say(RespConnection.command(words));
                String head = server.line();
                if (head != null && head.startsWith("*")) {
                    return server.answer().replaceFirst("^\\$(.*)", "\\$16\r\n$1\r\n");
                }
                if (head != null) {
                    return "-BUSY\r\n";
                }
            } catch (IOException e) {
                // dead under it, or before
            }
            if (!fault.equals("again")) {
                return fault.equals("denies") ? "-BUSY\r\n" : "-ERR aborted\r\n";
            }
        }
        return "-ERR aborted\r\n";
    }
}
