package tinford.program;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import tinford.logging.LineLogger;
import tinford.routing.admin.AdminApi;
import tinford.routing.client.ClientPool;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.transport.HandoverLock;

/**
 * Decides which process of this gateway accepts clients, and drains the process at its end. A
 * process that starts beside another one stands by until that one is told to exit and releases the
 * {@link HandoverLock}, or dies. Then it listens, and only after that the other one closes its
 * listener.
 */
final class Handover {
    private static final System.Logger LOG = System.getLogger("tinford.program");

    /** From SIGTERM on, a process without a successor serves as before for so long. */
    private static final double SERVE_AFTER_SIGTERM_MS = 450;

    /** The listener outlives the idle connections, and the last client to connect, by so long. */
    private static final double LISTEN_AFTER_ARRIVAL_MS = 100;

    /** From SIGTERM on, the listener stays so long at most, however many clients connect. */
    private static final double LISTEN_AFTER_SIGTERM_MS = 1000;

    private static final double LISTEN_POLL_MS = 10;

    /** From SIGTERM on, connections that bring no request are kept for so long. */
    private static final double KEEP_IDLE_AFTER_SIGTERM_MS = 650;

    /** Connections accepted last are kept for so long. */
    private static final double KEEP_IDLE_AFTER_LISTENING_MS = 100;

    private static final double TAKEOVER_POLL_MS = 10;
    private static final double ANNOUNCE_POLL_MS = 5;
    private static final double EXIT_POLL_MS = 100;
    private static final double LOG_FLUSH_TIMEOUT_MS = 100;
    private static final double LOOP_CLOSE_TIMEOUT_MS = 100;
    private static final double NANOS_PER_MS = 1e6;
    private final RequestDispatcher dispatcher;
    private final ClientPool clients;
    private final AdminApi adminApi;
    private final HandoverLock lock;
    private final InetSocketAddress listenAddress;
    private final int reservedForOtherProcess;
    private double drainStartedMs;

    /** The start has come to the listener, or to standing by. */
    private boolean isStarted;

    /** This process has accepted clients at some time. */
    private boolean hasListened;

    private boolean isDraining;

    /**
     * @param adminApi or null
     * @param lock shared with the gateway's other process, or null where there is none
     * @param reservedForOtherProcess descriptors that belong to the other process while there is
     *     one
     */
    Handover(
            RequestDispatcher dispatcher,
            ClientPool clients,
            AdminApi adminApi,
            HandoverLock lock,
            InetSocketAddress listenAddress,
            int reservedForOtherProcess) {
        this.dispatcher = dispatcher;
        this.clients = clients;
        this.adminApi = adminApi;
        this.lock = lock;
        this.listenAddress = listenAddress;
        this.reservedForOtherProcess = reservedForOtherProcess;
    }

    /** Listens for clients, unless another process does; false then. */
    synchronized boolean tryListenAtStart() throws IOException {
        isStarted = true;
        if (lock != null && !lock.tryAcquire()) {
            reserveDescriptors(reservedForOtherProcess);
            LOG.log(
                    Level.INFO,
                    "standing by: another process accepts client connections listen="
                            + listenAddress);
            return false;
        }
        clients.listen(listenAddress, lock != null);
        hasListened = true;
        if (lock != null) {
            boolean isOnlyProcess = lock.isOnlyProcess();
            if (!isOnlyProcess) {
                reserveDescriptors(reservedForOtherProcess);
            }
            dispatcher.loop().execute(() -> listeningAtStart(isOnlyProcess));
        }
        return true;
    }

    private void listeningAtStart(boolean isOnlyProcess) {
        announceListening();
        if (!isOnlyProcess) {
            pollForExitOfOther();
        }
    }

    private void reserveDescriptors(int descriptors) {
        dispatcher.loop().descriptorBudget().setReservedForOtherProcess(descriptors);
    }

    /** Within a batch: tries to take over the clients, until that is done. */
    void pollForTakeover() {
        if (isDraining) {
            return;
        }
        try {
            if (lock.tryAcquire()) {
                takeOver();
                return;
            }
        } catch (IOException e) {
            LOG.log(
                    Level.ERROR,
                    "handover failed, trying again listen=" + listenAddress + " error=" + e);
        }
        dispatcher.loop().schedule(TAKEOVER_POLL_MS, this::pollForTakeover);
    }

    private void takeOver() throws IOException {
        dispatcher.startTakeover();
        clients.listen(listenAddress, true);
        hasListened = true;
        LOG.log(
                Level.INFO,
                "handover complete: accepting client connections listen=" + listenAddress);
        announceListening();
        pollForExitOfOther();
    }

    private void announceListening() {
        try {
            if (isDraining || lock.tryAnnounceListening()) {
                return;
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "handover: announcing the listener failed error=" + e);
        }
        dispatcher.loop().schedule(ANNOUNCE_POLL_MS, this::announceListening);
    }

    /** Takes the other process's descriptors back once it has exited. */
    private void pollForExitOfOther() {
        try {
            if (lock.isOnlyProcess()) {
                // a draining process may have a successor by now
                reserveDescriptors(isDraining ? reservedForOtherProcess : 0);
                return;
            }
        } catch (IOException e) {
            LOG.log(
                    Level.WARNING,
                    "handover: checking whether the other process has exited failed error=" + e);
        }
        dispatcher.loop().schedule(EXIT_POLL_MS, this::pollForExitOfOther);
    }

    /**
     * Called at SIGTERM, on the shutdown thread: serves as before while clients still connect, then
     * closes their connections between requests, and exits when every request is answered.
     *
     * @param onDrained called right before the exit
     */
    void drainAndExit(Runnable onDrained) {
        // waits for a listener that is being opened
        synchronized (this) {
            if (!isStarted) {
                exit();
            }
        }
        CountDownLatch drained = new CountDownLatch(1);
        dispatcher.loop().execute(() -> startDraining(drained));
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        onDrained.run();
        LineLogger.flush(LOG_FLUSH_TIMEOUT_MS);
        exit();
    }

    private void exit() {
        dispatcher.loop().closeAndAwait(LOOP_CLOSE_TIMEOUT_MS);
        Runtime.getRuntime().halt(0);
    }

    private void startDraining(CountDownLatch drained) {
        isDraining = true;
        drainStartedMs = System.nanoTime() / NANOS_PER_MS;
        if (!hasListened) {
            drained.countDown(); // it was standing by and has no clients
        } else if (lock == null) {
            dispatcher.loop().schedule(SERVE_AFTER_SIGTERM_MS, () -> closeClients(drained));
        } else {
            handOver(drained);
        }
    }

    /** Hands the clients over to a successor, if one listens in time. */
    private void handOver(CountDownLatch drained) {
        try {
            lock.release();
            if (lock.isSuccessorListening()) {
                drainAfterHandover(drained);
                return;
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "handover: checking for a successor failed error=" + e);
        }
        if (sinceDrainStartedMs() < SERVE_AFTER_SIGTERM_MS) {
            dispatcher.loop().schedule(TAKEOVER_POLL_MS, () -> handOver(drained));
        } else {
            closeClients(drained);
        }
    }

    private void drainAfterHandover(CountDownLatch drained) {
        dispatcher.startDraining();
        adminApi.startDraining();
        reserveDescriptors(reservedForOtherProcess);
        LOG.log(
                Level.INFO,
                "draining: another process accepts client connections listen=" + listenAddress);
        clients.drainToSuccessor(remainingIdleMs(), drained::countDown);
    }

    private void closeClients(CountDownLatch drained) {
        if (adminApi != null) {
            adminApi.startDraining();
        }
        clients.closeIdleConnections();
        dispatcher.loop().schedule(LISTEN_AFTER_ARRIVAL_MS, () -> stopListening(drained));
    }

    /**
     * Closes the listener once no client connects any more: one whose request crossed the end of
     * its connection has to come again, and one that connects right now may be reset.
     */
    private void stopListening(CountDownLatch drained) {
        if (clients.sinceLastArrivalMs() < LISTEN_AFTER_ARRIVAL_MS
                && sinceDrainStartedMs() < LISTEN_AFTER_SIGTERM_MS) {
            dispatcher.loop().schedule(LISTEN_POLL_MS, () -> stopListening(drained));
            return;
        }
        double graceMs = Math.max(remainingIdleMs(), KEEP_IDLE_AFTER_LISTENING_MS);
        LOG.log(
                Level.INFO,
                "draining: listener closed sinceSigtermMs="
                        + Math.round(sinceDrainStartedMs())
                        + " crossedCloses="
                        + clients.crossedCloses());
        double lateMs = sinceDrainStartedMs() + graceMs - KEEP_IDLE_AFTER_SIGTERM_MS;
        clients.stopAccepting(graceMs, lateMs, drained::countDown);
    }

    private double remainingIdleMs() {
        return KEEP_IDLE_AFTER_SIGTERM_MS - sinceDrainStartedMs();
    }

    private double sinceDrainStartedMs() {
        return System.nanoTime() / NANOS_PER_MS - drainStartedMs;
    }
}
