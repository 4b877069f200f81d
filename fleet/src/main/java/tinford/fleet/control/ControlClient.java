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

/** Sends requests to control servers, for the operator's commands. */
final class ControlClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Longer than a voter takes to decide a proposal. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(12);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * The response to a request.
     *
     * @param status HTTP status code
     * @param body a missing node if the body is empty or is not JSON
     */
    record Response(int status, JsonNode body) {}

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    Response get(InetSocketAddress server, String path) throws IOException, InterruptedException {
        return send(newRequest(server, path).GET().build());
    }

    Response post(InetSocketAddress server, String path, byte[] body)
            throws IOException, InterruptedException {
        return send(
                newRequest(server, path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build());
    }

    private static HttpRequest.Builder newRequest(InetSocketAddress server, String path) {
        String authority = server.getHostString() + ":" + server.getPort();
        return HttpRequest.newBuilder(URI.create("http://" + authority + path))
                .timeout(RESPONSE_TIMEOUT);
    }

    private Response send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), parseBody(response.body()));
    }

    private static JsonNode parseBody(byte[] body) throws IOException {
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
