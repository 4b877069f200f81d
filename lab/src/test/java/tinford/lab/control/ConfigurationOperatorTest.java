package tinford.lab.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.ValidationError;
import tinford.lab.fleet.History;

/** The operator against servers that answer by a script. */
public class ConfigurationOperatorTest {
    private static final ChangeSet SET = new ChangeSet("one", null, List.of());
    private static final String NOT_TAKEN = "{\"taken\":\"perhaps\",\"reason\":\"no quorum\"}";
    private final List<String> ids = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private Path file;
    private History history;

    @BeforeMethod
    public void open() throws IOException {
        file = Files.createTempFile("operator", ".jsonl");
        history = new History(file);
        ids.clear();
    }

    @AfterMethod
    public void close() throws IOException {
        servers.forEach(server -> server.stop(0));
        servers.clear();
        history.close();
        Files.delete(file);
    }

    private URI answering(int status, String body) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext(
                "/proposals",
                exchange -> {
                    byte[] asked = exchange.getRequestBody().readAllBytes();
                    synchronized (ids) {
                        ids.add(new ObjectMapper().readTree(asked).path("id").asText());
                    }
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(status, bytes.length);
                    exchange.getResponseBody().write(bytes);
                    exchange.close();
                });
        server.start();
        servers.add(server);
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    private ConfigurationOperator operator(URI... addresses) {
        List<URI> all = List.of(addresses);
        return new ConfigurationOperator(HttpClient.newHttpClient(), () -> all, history);
    }

    private List<String> kinds() throws IOException {
        return History.read(List.of(file)).stream().map(History.Line::kind).toList();
    }

    @Test
    public void theNextServerIsAskedWithTheSameId() throws Exception {
        URI first = answering(503, NOT_TAKEN);
        URI second = answering(200, "{\"revision\":7}");
        assertEquals(operator(first, second).enter(SET, 10), new Outcome.Accepted(7));
        assertEquals(ids, List.of("one", "one"));
        assertEquals(
                kinds(), List.of(Events.ENTERED, Events.TRIED, Events.ENTERED, Events.ACCEPTED));
    }

    @Test
    public void aRefusalIsTold() throws Exception {
        URI server = answering(409, "{\"faults\":[{\"key\":\"a\",\"expected\":\"b\"}]}");
        Outcome outcome = operator(server).enter(SET, 10);
        assertEquals(
                ((Outcome.Rejected) outcome).rejection().errors(),
                List.of(new ValidationError("a", "b")));
        assertEquals(kinds(), List.of(Events.ENTERED, Events.REFUSED));
    }

    @Test
    public void whatNobodyDecidesFails() throws Exception {
        URI server = answering(503, NOT_TAKEN);
        assertThrows(IOException.class, () -> operator(server).enter(SET, 0.01));
    }
}
