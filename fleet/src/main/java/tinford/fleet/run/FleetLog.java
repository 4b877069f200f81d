package tinford.fleet.run;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import tinford.fleet.store.RaftLog;
import tinford.fleet.store.ReplicatedLog;

/**
 * This process's member of the fleet's log. It starts on a thread of its own, as the start may take
 * seconds, and runs until the process ends. Committed entries go to a state machine on the log's
 * thread, which takes the snapshots, and through the mailbox to the one on the I/O thread.
 */
final class FleetLog {
    /** Receives committed entries on the I/O thread. */
    interface Listener {
        /** After the entry was applied. */
        void applied(byte[] entry);

        /** After a snapshot was restored. */
        void restored();
    }

    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final RaftLog.Bounds BOUNDS = new RaftLog.Bounds(2000, 256, 64 << 10, 5000, 400);

    private volatile ReplicatedLog log;

    /**
     * @param number of this member
     * @param addresses of the members by number
     * @param onLogThread for snapshots
     * @param onIoThread which the process acts on
     */
    void start(
            int number,
            SortedMap<Integer, InetSocketAddress> addresses,
            Path folder,
            FleetStateMachine onLogThread,
            FleetStateMachine onIoThread,
            Listener listener,
            IoThreadMailbox mailbox) {
        ReplicatedLog.StateMachine replica =
                new Replica(onLogThread, onIoThread, listener, mailbox);
        Thread thread = new Thread(() -> open(number, addresses, folder, replica), "log start");
        thread.setDaemon(true);
        thread.start();
    }

    private void open(
            int number,
            SortedMap<Integer, InetSocketAddress> addresses,
            Path folder,
            ReplicatedLog.StateMachine replica) {
        try {
            log = new RaftLog(number, addresses, folder, replica, BOUNDS);
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    Level.ERROR,
                    "fleet log not started, using the static share only: folder="
                            + folder
                            + " error="
                            + e);
        }
    }

    /**
     * Proposes an entry. A lost one needs no retry by the caller: proposals are derived anew from
     * the state.
     *
     * @return completes at once, with 0, while the log is not started
     */
    CompletableFuture<Long> append(byte[] entry) {
        ReplicatedLog started = log;
        return started == null ? CompletableFuture.completedFuture(0L) : started.append(entry);
    }

    boolean isLeader() {
        ReplicatedLog started = log;
        return started != null && started.isLeader();
    }

    /** Blocks the log's thread while the mailbox is full, so that the I/O thread keeps up. */
    private record Replica(
            FleetStateMachine onLogThread,
            FleetStateMachine onIoThread,
            Listener listener,
            IoThreadMailbox mailbox)
            implements ReplicatedLog.StateMachine {
        @Override
        public void apply(long index, byte[] entry) {
            onLogThread.apply(index, entry);
            post(
                    () -> {
                        onIoThread.apply(index, entry);
                        listener.applied(entry);
                    });
        }

        @Override
        public byte[] snapshot() {
            return onLogThread.snapshot();
        }

        @Override
        public void restore(long index, byte[] snapshot) {
            onLogThread.restore(index, snapshot);
            post(
                    () -> {
                        onIoThread.restore(index, snapshot);
                        listener.restored();
                    });
        }

        private void post(Runnable task) {
            try {
                mailbox.put(task);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
