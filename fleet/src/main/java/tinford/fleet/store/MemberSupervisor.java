package tinford.fleet.store;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a member of the log running: starts it anew on its folder when the library has ended its
 * part of it, as otherwise the member would be one by name alone, and the next loss of a member
 * would stop the log. Owns the incarnations and the thread that watches them.
 */
final class MemberSupervisor {
    /** Starts one incarnation. */
    interface MemberFactory {
        RatisMember start() throws IOException;
    }

    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final long POLL_INTERVAL_MS = 100;
    private static final long MIN_BACKOFF_MS = 200;
    private static final long MAX_BACKOFF_MS = 10_000;

    /** An incarnation that lived so long was no failed start: the backoff begins anew. */
    private static final long STABLE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final String name;
    private final MemberFactory factory;
    private final Thread thread;

    /** Null while none runs. */
    private volatile RatisMember member;

    private volatile int restarts;
    private volatile boolean closed;
    private long startedNanos = System.nanoTime();
    private long backoffMs = MIN_BACKOFF_MS;

    /**
     * Starts the first incarnation.
     *
     * @throws IOException it could not be started; nothing runs then
     */
    MemberSupervisor(String name, MemberFactory factory) throws IOException {
        this.name = name;
        this.factory = factory;
        member = factory.start();
        thread = new Thread(this::watch, "tinford-log-watch-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The incarnation that runs, or null while one is being started. */
    RatisMember member() {
        return member;
    }

    boolean isRunning() {
        RatisMember current = member;
        return !closed && current != null && current.isAlive();
    }

    /** How often the member was started anew after the library had ended its part. */
    int restarts() {
        return restarts;
    }

    private void watch() {
        try {
            while (!closed) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                checkIsolated();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // closed
        }
    }

    /** A failed check must not end the thread: the member would not be watched any more. */
    private void checkIsolated() throws InterruptedException {
        try {
            check();
        } catch (RuntimeException | Error e) {
            LOG.log(Level.ERROR, "log member not checked, retrying member=" + name, e);
        }
    }

    private void check() throws InterruptedException {
        RatisMember current = member;
        if (current == null) {
            TimeUnit.MILLISECONDS.sleep(backoffMs);
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            start();
        } else if (!current.isAlive()) {
            LOG.log(
                    Level.WARNING,
                    "log member ended, restarting member={0} cause={1}",
                    name,
                    current.endCause());
            restarts++;
            end(current);
        } else if (current.hasRejoined()) {
            LOG.log(Level.INFO, "log member rejoined, restarting as a voter member={0}", name);
            end(current);
            start();
        }
    }

    private synchronized void end(RatisMember current) {
        if (closed) {
            return;
        }
        if (System.nanoTime() - startedNanos > STABLE_AFTER_NANOS) {
            backoffMs = MIN_BACKOFF_MS;
        }
        member = null;
        current.close();
    }

    private synchronized void start() {
        if (closed) {
            return;
        }
        try {
            member = factory.start();
            startedNanos = System.nanoTime();
            LOG.log(Level.INFO, "log member restarted member={0}", name);
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    Level.WARNING,
                    "log member not restarted, retrying member={0} error={1}",
                    name,
                    e.toString());
        }
    }

    /** Ends the member for good, once a start that is under way is over. */
    void close() {
        closed = true;
        thread.interrupt();
        synchronized (this) {
            if (member != null) {
                member.close();
            }
        }
    }
}
