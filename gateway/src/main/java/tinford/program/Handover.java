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
 * Which process of this gateway takes the clients. One that starts beside another waits, ready,
 * until that one is told to end and gives its turn away; then it opens its door, and only then the
 * other closes its own. A process that dies gives its turn away as well.
 */
final class Handover {
    private static final System.Logger LOG = System.getLogger("tinford.program");

    /**
     * Clients and connections that come this long after SIGTERM, to one without a successor, are
     * none the wiser.
     */
    private static final double CLIENTS_COME = 450;

    /** The door stays open so much longer, for what crosses the end of a connection. */
    private static final double DOOR_STAYS = 100;

    /**
     * Connections that bring no req meanwhile end this long after SIGTERM: their last req has its
     * full time.
     */
    private static final double CLIENTS_STAY = 650;

    private static final double LOOK = 10;
    private static final double LAST_LINES = 100; // for the log, at the end
    private static final double LAST_LOOK =
            100; // for the I/O threads, which end at once where nothing holds them up
    private final RequestDispatcher desk;
    private final ClientPool clients;
    private final AdminApi operators;
    private final HandoverLock turn;
    private final InetSocketAddress at;
    private final int aside;
    private double leftAt;
    private boolean begun; // at the start, whichever process has the turn
    private boolean taken; // the clients, at some time
    private boolean ending;

    /**
     * @param operators their door, or null
     * @param turn shared with the gateway's other process, or null where there is none
     * @param aside descriptors that are not this process's while there are two
     */
    Handover(
            RequestDispatcher desk,
            ClientPool clients,
            AdminApi operators,
            HandoverLock turn,
            InetSocketAddress at,
            int aside) {
        this.desk = desk;
        this.clients = clients;
        this.operators = operators;
        this.turn = turn;
        this.at = at;
        this.aside = aside;
    }

    /** Opens the door if no other process has the turn. */
    synchronized boolean first() throws IOException {
        begun = true;
        if (turn != null && !turn.tryAcquire()) {
            desk.loop.descriptorBudget().reserve(aside);
            LOG.log(
                    Level.INFO,
                    "another process of this gateway takes the clients; ready to follow it");
            return false;
        }
        clients.listen(at, turn != null);
        taken = true;
        if (turn != null) {
            boolean alone = turn.alone();
            if (!alone) {
                desk.loop.descriptorBudget().reserve(aside);
            }
            desk.loop.execute(
                    () -> {
                        opened();
                        if (!alone) {
                            alone();
                        }
                    });
        }
        return true;
    }

    /** Within a turn of the loop: looks for the end of the other process's turn. */
    void await() {
        if (ending) {
            return;
        }
        try {
            if (turn.tryAcquire()) {
                desk.startTakeover();
                clients.listen(at, true);
                taken = true;
                LOG.log(Level.INFO, "the clients come here now");
                opened();
                alone();
                return;
            }
        } catch (IOException e) {
            LOG.log(Level.ERROR, "the clients' address can't be taken over: " + e);
        }
        desk.loop.schedule(LOOK, this::await);
    }

    private void opened() {
        try {
            if (ending || turn.opened()) {
                return;
            }
        } catch (IOException e) {
            LOG.log(
                    Level.WARNING,
                    "the other process is not told that this one's door is open: " + e);
        }
        desk.loop.schedule(LOOK / 2, this::opened);
    }

    /** Once the other process is gone, its descriptors are free. */
    private void alone() {
        try {
            if (turn.alone()) {
                desk.loop
                        .descriptorBudget()
                        .reserve(ending ? aside : 0); // one that ends may have a successor by now
                return;
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "not seen whether the other process has gone: " + e);
        }
        desk.loop.schedule(10 * LOOK, this::alone);
    }

    /**
     * At SIGTERM: goes on as before while clients still come, then lets them go, and ends when all
     * is answered.
     */
    void leave(Runnable last) {
        synchronized (this) { // guards a door that is being opened
            if (!begun) {
                halt();
            }
        }
        CountDownLatch left = new CountDownLatch(1);
        desk.loop.execute(
                () -> {
                    ending = true;
                    leftAt = System.nanoTime() / 1e6;
                    if (!taken) {
                        left.countDown(); // it waited for its turn, and goes without one
                    } else if (turn == null) {
                        desk.loop.schedule(CLIENTS_COME, () -> close(left));
                    } else {
                        give(left);
                    }
                });
        try {
            left.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        last.run();
        LineLogger.flush(LAST_LINES);
        halt();
    }

    private void halt() {
        desk.loop.end(LAST_LOOK); // guards the time that is left, see there
        Runtime.getRuntime().halt(0);
    }

    private void give(CountDownLatch left) {
        try {
            turn.release();
            if (turn.succeeded()) {
                desk.startDraining();
                operators.startDraining();
                desk.loop.descriptorBudget().reserve(aside);
                LOG.log(Level.INFO, "another process takes the clients");
                clients.drainToSuccessor(CLIENTS_STAY - since(), left::countDown);
                return;
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "not seen whether another process follows: " + e);
        }
        if (since() < CLIENTS_COME) {
            desk.loop.schedule(LOOK, () -> give(left));
        } else {
            close(left);
        }
    }

    private void close(CountDownLatch left) {
        if (operators != null) {
            operators.startDraining();
        }
        clients.closeIdleConnections();
        desk.loop.schedule(
                DOOR_STAYS, () -> clients.stopAccepting(CLIENTS_STAY - since(), left::countDown));
    }

    private double since() {
        return System.nanoTime() / 1e6 - leftAt;
    }
}
