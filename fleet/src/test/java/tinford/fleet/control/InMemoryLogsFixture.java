package tinford.fleet.control;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tinford.fleet.store.InMemoryLogs;
import tinford.fleet.store.ReplicatedLog;

/** In-memory logs for servers with threads; their simulated time follows the real clock. */
final class InMemoryLogsFixture implements AutoCloseable {
    private static final double DELAY_MS = 2;
    private static final double SILENCE_MS = 50;
    private static final double APPEND_MS = 300;
    private static final int IN_FLIGHT = 64;
    private static final int SNAPSHOT_ENTRIES = 1000;

    private final InMemoryLogs logs;
    private final ScheduledExecutorService driver = Executors.newSingleThreadScheduledExecutor();

    InMemoryLogsFixture(int size) {
        logs =
                new InMemoryLogs(
                        size,
                        DELAY_MS,
                        SILENCE_MS,
                        APPEND_MS,
                        IN_FLIGHT,
                        SNAPSHOT_ENTRIES,
                        new Random(1));
        driver.scheduleAtFixedRate(this::advance, 0, 1, TimeUnit.MILLISECONDS);
    }

    private synchronized void advance() {
        logs.advance(System.nanoTime() / 1e6);
    }

    synchronized void cut(int one, int other) {
        logs.cut(one, other);
    }

    synchronized void heal() {
        logs.heal();
    }

    synchronized ReplicatedLog open(int number, ReplicatedLog.StateMachine reader) {
        ReplicatedLog log = logs.open(number, reader);
        return new ReplicatedLog() {
            @Override
            public CompletableFuture<Long> append(byte[] entry) {
                synchronized (InMemoryLogsFixture.this) {
                    return log.append(entry);
                }
            }

            @Override
            public boolean isLeader() {
                synchronized (InMemoryLogsFixture.this) {
                    return log.isLeader();
                }
            }

            @Override
            public long term() {
                synchronized (InMemoryLogsFixture.this) {
                    return log.term();
                }
            }

            @Override
            public void close() {
                synchronized (InMemoryLogsFixture.this) {
                    log.close();
                }
            }
        };
    }

    @Override
    public void close() {
        driver.shutdownNow();
    }
}
