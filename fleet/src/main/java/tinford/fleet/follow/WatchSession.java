package tinford.fleet.follow;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import tinford.fleet.config.ConfigurationLimits;

/**
 * One watch, from its request to its end. The listener is called on the executor, and not after the
 * session has ended or was cancelled. All methods are called on the executor, which runs one task
 * at a time.
 */
final class WatchSession {
    /** Receives the events of a watch. */
    interface Listener extends WatchSubscription.Listener {
        /** The response has begun, with status 200. */
        void opened();
    }

    private static final int STATUS_OK = 200;

    /** A line is held up to three times while it is read, so it may take a part of the heap. */
    private static final int HEAP_DIVISOR_PER_LINE = 16;

    private final HttpClient http;
    private final Executor executor;
    private final TrafficCounters traffic;
    private final Listener listener;
    private boolean active = true;
    private WatchSubscription subscription;
    private CompletableFuture<HttpResponse<Void>> response;

    WatchSession(HttpClient http, Executor executor, TrafficCounters traffic, Listener listener) {
        this.http = http;
        this.executor = executor;
        this.traffic = traffic;
        this.listener = listener;
    }

    /** Sends the request; called once. */
    void open(URI uri) {
        traffic.addSent(uri.toString().length());
        HttpRequest request =
                HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).GET().build();
        response = http.sendAsync(request, this::subscribe);
        response.whenComplete(
                (done, failure) -> {
                    if (failure != null) {
                        executor.execute(() -> end("not reached: " + describeCause(failure)));
                    }
                });
    }

    /** Ends the connection, or keeps it from being opened. */
    void cancel() {
        active = false;
        if (subscription != null) {
            subscription.cancel();
        }
        response.cancel(true);
    }

    private HttpResponse.BodySubscriber<Void> subscribe(HttpResponse.ResponseInfo head) {
        WatchSubscription body =
                new WatchSubscription(executor, new ActiveListener(), maxLineBytes(), traffic);
        if (head.statusCode() == STATUS_OK) {
            executor.execute(() -> opened(body));
        } else {
            body.cancel();
            String reason = "answer: expected status 200, not " + head.statusCode();
            executor.execute(() -> end(reason));
        }
        return body;
    }

    private void opened(WatchSubscription body) {
        if (active) {
            subscription = body;
            listener.opened();
        } else {
            body.cancel();
        }
    }

    private void end(String reason) {
        if (active) {
            active = false;
            listener.ended(reason);
        }
    }

    /** Passes events on while the session is active. */
    private final class ActiveListener implements WatchSubscription.Listener {
        @Override
        public void line(byte[] line) {
            if (active) {
                listener.line(line);
            }
        }

        @Override
        public void partialLine() {
            if (active) {
                listener.partialLine();
            }
        }

        @Override
        public void ended(String reason) {
            end(reason);
        }
    }

    private static int maxLineBytes() {
        long heapPart = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_PER_LINE;
        return (int) Math.min(ConfigurationLimits.MAX_LINE_BYTES, heapPart);
    }

    private static String describeCause(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        String message = cause.getMessage() == null ? "" : ": " + cause.getMessage();
        return cause.getClass().getSimpleName() + message;
    }
}
