package tinford.fleet.follow;

import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The body of one watch, cut into lines. More is asked of the connection only once the lines that
 * came before have been handled, so that what waits is bounded.
 */
final class WatchSubscription implements HttpResponse.BodySubscriber<Void> {
    /** Hears of the lines and of the end, on the executor. */
    interface Listener {
        void line(byte[] line);

        /** Bytes came that don't end a line. */
        void partialLine();

        void ended(String reason);
    }

    private final Executor executor;
    private final Listener listener;
    private final LineSplitter lines;
    private final AtomicLong bytesReceived;
    private final CompletableFuture<Void> body = new CompletableFuture<>();
    private Flow.Subscription subscription;
    private boolean cancelled;

    /**
     * @param maxLineBytes in bytes; a longer one ends the watch
     * @param bytesReceived is increased by what comes
     */
    WatchSubscription(
            Executor executor, Listener listener, int maxLineBytes, AtomicLong bytesReceived) {
        this.executor = executor;
        this.listener = listener;
        this.lines = new LineSplitter(maxLineBytes);
        this.bytesReceived = bytesReceived;
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
        bytesReceived.addAndGet(buffers.stream().mapToLong(ByteBuffer::remaining).sum());
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

    /** Ends the connection, or keeps it from beginning. */
    synchronized void cancel() {
        cancelled = true;
        if (subscription != null) {
            subscription.cancel();
        }
        body.complete(null);
    }
}
