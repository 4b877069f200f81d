package tinford.fleet.follow;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Follower.Action;

/**
 * Sends reports, one at a time; of those that wait meanwhile only the latest is sent. Failed
 * reports are not sent again: the follower reports again within seconds. All methods but {@link
 * #close} are called on the client's executor.
 */
final class ReportSender {
    private static final long REPORT_TIMEOUT_S = 5;

    private final HttpClient http;
    private final Executor executor;
    private final TrafficCounters traffic;
    private Action.Report waiting;
    private boolean sending;
    private volatile boolean closed;

    ReportSender(HttpClient http, Executor executor, TrafficCounters traffic) {
        this.http = http;
        this.executor = executor;
        this.traffic = traffic;
    }

    /** Sends this report as soon as none is in flight. */
    void send(Action.Report report) {
        waiting = report;
        sendNext();
    }

    /** Sends no further reports; from any thread. */
    void close() {
        closed = true;
    }

    private void sendNext() {
        if (sending || waiting == null || closed) {
            return;
        }
        Action.Report next = waiting;
        waiting = null;
        sending = true;
        CompletableFuture<HttpResponse<Void>> sent =
                http.sendAsync(request(next), HttpResponse.BodyHandlers.discarding());
        sent.copy()
                .orTimeout(REPORT_TIMEOUT_S, TimeUnit.SECONDS)
                .whenComplete(
                        (response, failure) -> {
                            sent.cancel(true); // ends a response that is still being received
                            executor.execute(this::completed);
                        });
    }

    private HttpRequest request(Action.Report report) {
        URI uri = ControlServerUris.report(report.endpoint(), report.report().follower());
        byte[] body = ConfigurationCodec.encode(report.report());
        traffic.addSent(uri.toString().length() + body.length);
        return HttpRequest.newBuilder(uri)
                .version(HttpClient.Version.HTTP_1_1)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    private void completed() {
        sending = false;
        sendNext();
    }
}
