package tinford.fleet.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Asks one control server after the other, for the operator's commands. */
final class ControlClient {
    private static final Duration CONNECT_WITHIN = Duration.ofSeconds(2);

    /** Longer than a voter waits for a decision. */
    private static final Duration ANSWER_WITHIN = Duration.ofSeconds(12);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** An answer: its status code, and its body as JSON, which is missing where it is none. */
    record Answer(int status, JsonNode body) {}

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_WITHIN)
                    .build();

    Answer get(InetSocketAddress server, String path) throws IOException, InterruptedException {
        return send(request(server, path).GET().build());
    }

    Answer post(InetSocketAddress server, String path, byte[] body)
            throws IOException, InterruptedException {
        return send(
                request(server, path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build());
    }

    private static HttpRequest.Builder request(InetSocketAddress server, String path) {
        String authority = server.getHostString() + ":" + server.getPort();
        return HttpRequest.newBuilder(URI.create("http://" + authority + path))
                .timeout(ANSWER_WITHIN);
    }

    private Answer send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return new Answer(response.statusCode(), json(response.body()));
    }

    private static JsonNode json(byte[] body) throws IOException {
        if (body.length == 0) {
            return MAPPER.missingNode();
        }
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }
}
