package tinford.lab.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.Proposal;
import tinford.fleet.config.Rejection;
import tinford.fleet.config.ValidationError;
import tinford.lab.fleet.History;

/**
 * Enters proposals at the control servers as an operator's tool does: at one server after the other
 * with the same id, until one says what became of it. The one that did so last is asked first.
 */
final class ConfigurationOperator {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(6);
    private static final long RETRY_DELAY_MS = 200;
    private static final int STATUS_OK = 200;
    private static final int STATUS_REFUSED = 409;
    private final HttpClient http;
    private final Supplier<List<URI>> servers;
    private final History history;
    private URI lastAnswered;

    /**
     * @param servers those that the operator reaches now
     */
    ConfigurationOperator(HttpClient http, Supplier<List<URI>> servers, History history) {
        this.http = http;
        this.servers = servers;
        this.history = history;
    }

    /**
     * @throws IOException no server said what became of it in that time
     */
    Outcome enter(Proposal proposal, double timeoutSeconds)
            throws IOException, InterruptedException {
        byte[] body = ConfigurationCodec.encode(proposal);
        long deadline = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while (System.nanoTime() < deadline) {
            for (URI server : inOrder()) {
                Outcome outcome = tryAt(server, proposal.id(), body);
                if (outcome != null) {
                    lastAnswered = server;
                    return outcome;
                }
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
        throw new IOException("proposal " + proposal.id() + " was not decided by any server");
    }

    private List<URI> inOrder() {
        List<URI> all = new ArrayList<>(servers.get());
        if (all.remove(lastAnswered)) {
            all.add(0, lastAnswered);
        }
        return all;
    }

    private Outcome tryAt(URI server, String id, byte[] body) throws InterruptedException {
        history.tell(Events.ENTERED, Events.ID, id, Events.SERVER, server.toString());
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(server.resolve("/proposals"))
                            .timeout(ANSWER_TIMEOUT)
                            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                            .build();
            HttpResponse<byte[]> answer =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (answer.statusCode() == STATUS_OK || answer.statusCode() == STATUS_REFUSED) {
                return told(id, outcome(answer));
            }
            tried(id, answer.statusCode() + " " + new String(answer.body()).strip());
        } catch (IOException e) {
            tried(id, e.toString());
        }
        return null;
    }

    private static Outcome outcome(HttpResponse<byte[]> answer) throws IOException {
        JsonNode body = JSON.readTree(answer.body());
        if (answer.statusCode() == STATUS_OK) {
            return new Outcome.Accepted(body.path("revision").asLong());
        }
        List<ValidationError> faults = new ArrayList<>();
        for (JsonNode fault : body.path("faults")) {
            faults.add(
                    new ValidationError(
                            fault.path("key").asText(), fault.path("expected").asText()));
        }
        return new Outcome.Rejected(new Rejection(faults));
    }

    private Outcome told(String id, Outcome outcome) {
        if (outcome instanceof Outcome.Accepted accepted) {
            history.tell(Events.ACCEPTED, Events.ID, id, Events.REVISION, accepted.revision());
        } else if (outcome instanceof Outcome.Rejected refused) {
            history.tell(Events.REFUSED, Events.ID, id, Events.WHY, refused.rejection().toString());
        }
        return outcome;
    }

    private void tried(String id, String why) {
        history.tell(Events.TRIED, Events.ID, id, Events.WHY, why);
    }
}
