package tinford.fleet.follow;

import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;

/**
 * The body of one watch, cut into lines. More bytes are requested from the connection only after
 * the lines of the previous ones have been handled, so that at most one batch is buffered.
 */
final class WatchSubscription implements HttpResponse.BodySubscriber<Void> {
    /** Receives the lines and the end of a watch, on the executor. */
    interface Listener {
        /** A whole line, without its line feed. */
        void line(byte[] line);

        /** Bytes were received that don't end a line. */
        void partialLine();

        /** No more lines follow. */
        void ended(String reason);
    }

    private final Executor executor;
    private final Listener listener;
    private final LineSplitter lines;
    private final TrafficCounters traffic;
    private final CompletableFuture<Void> body = new CompletableFuture<>();
    private Flow.Subscription subscription;
    private boolean cancelled;

    /**
     * @param maxLineBytes a longer line ends the watch
     */
    WatchSubscription(
            Executor executor, Listener listener, int maxLineBytes, TrafficCounters traffic) {
        this.executor = executor;
        this.listener = listener;
        this.lines = new LineSplitter(maxLineBytes);
        this.traffic = traffic;
    }

    @Override
    public CompletionStage<Void> getBody() {
        return body;
    }

    @Override
    public synchronized void onSubscribe(Flow.Subscription subscription) {
        this.subscription = subscription;
        if (cancelled) {
            subscription.cancel();
        } else {
            subscription.request(1);
        }
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        executor.execute(() -> handle(buffers));
    }

    private void handle(List<ByteBuffer> buffers) {
        traffic.addReceived(buffers.stream().mapToLong(ByteBuffer::remaining).sum());
        try {
            List<byte[]> completeLines = lines.split(buffers);
            completeLines.forEach(listener::line);
            if (completeLines.isEmpty()) {
                listener.partialLine();
            }
            requestMore();
        } catch (LineSplitter.LineTooLongException e) {
            cancel();
            listener.ended(e.getMessage());
        }
    }

    private synchronized void requestMore() {
        if (!cancelled) {
            subscription.request(1);
        }
    }

    @Override
    public void onError(Throwable failure) {
        executor.execute(() -> end("connection lost: " + failure));
    }

    @Override
    public void onComplete() {
        executor.execute(() -> end("ended by the control server"));
    }

    private void end(String reason) {
        body.complete(null);
        listener.ended(reason);
    }

    /** Ends the connection, or keeps it from being opened. */
    synchronized void cancel() {
        cancelled = true;
        if (subscription != null) {
            subscription.cancel();
        }
        body.complete(null);
    }
}
