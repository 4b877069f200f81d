package tinford.lab.fleet;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** The one thread of all links: a selector, and what is due by time. */
final class LinkLoop implements AutoCloseable {
    /** Who hears that a channel is ready. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private record Due(double at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final Selector selector = Selector.open();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "links");
    private long order;
    private volatile boolean closed;

    LinkLoop() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    double now() {
        return System.nanoTime() / 1e6;
    }

    /** Loop's thread only. */
    void at(double when, Runnable what) {
        due.add(new Due(when, order++, what));
    }

    /** Loop's thread only. */
    SelectionKey register(SelectableChannel c, int ops, Ready who) throws IOException {
        c.configureBlocking(false);
        return c.register(selector, ops, who);
    }

    void post(Runnable what) {
        posted.add(what);
        selector.wakeup();
    }

    /** From any other thread: done when this returns. */
    void call(Step what) throws IOException {
        CompletableFuture<IOException> done = new CompletableFuture<>();
        post(
                () -> {
                    try {
                        what.run();
                        done.complete(null);
                    } catch (IOException e) {
                        done.complete(e);
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            IOException failed = done.get(10, TimeUnit.SECONDS);
            if (failed != null) {
                throw failed;
            }
        } catch (InterruptedException
                | java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException e) {
            throw new IOException("the links' thread does not answer", e);
        }
    }

    /** What may fail. */
    interface Step {
        void run() throws IOException;
    }

    private void run() {
        try (selector) {
            while (!closed) {
                double wait = due.isEmpty() ? 1000 : due.peek().at - now();
                if (wait > 0 && posted.isEmpty()) {
                    selector.select((long) Math.min(1000, Math.ceil(wait)));
                } else {
                    selector.selectNow();
                }
                for (SelectionKey k : selector.selectedKeys()) {
                    try {
                        if (k.isValid()) {
                            ((Ready) k.attachment()).ready(k);
                        }
                    } catch (IOException | java.nio.channels.CancelledKeyException e) {
                        k.cancel(); // its link has seen to the rest
                    }
                }
                selector.selectedKeys().clear();
                for (Runnable r = posted.poll(); r != null; r = posted.poll()) {
                    r.run();
                }
                while (!due.isEmpty() && due.peek().at <= now()) {
                    due.poll().what.run();
                }
            }
            for (SelectionKey k : selector.keys()) {
                k.channel().close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
