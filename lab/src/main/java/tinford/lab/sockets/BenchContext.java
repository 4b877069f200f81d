package tinford.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import tinford.lab.scenario.Scenario;

/**
 * What the parts of one bench share: the scenario, the agenda's thread, and threads for sockets.
 */
final class BenchContext implements AutoCloseable {
    private static final int BACKLOG = 50;

    final Scenario scenario;
    final BenchInterceptor between;

    /** For configurations and logs. */
    final Path folder;

    final WallClockEventQueue live = new WallClockEventQueue();
    final ExecutorService pool = Executors.newCachedThreadPool(BenchContext::thread);

    /** Takes a connection that was accepted; the next one waits until it returns. */
    interface ConnectionHandler {
        void accepted(RespConnection wire) throws IOException;
    }

    BenchContext(Scenario scenario, BenchInterceptor between, Path folder) {
        this.scenario = scenario;
        this.between = between;
        this.folder = folder;
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "lab");
        thread.setDaemon(true);
        return thread;
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    static RespConnection connect(int port) throws IOException {
        return new RespConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Accepts connections until the socket is closed, on a thread of its own. */
    void accept(ServerSocket listener, ConnectionHandler handler) {
        pool.execute(
                () -> {
                    try {
                        while (true) {
                            handler.accepted(new RespConnection(listener.accept()));
                        }
                    } catch (IOException e) {
                        // it was closed
                    }
                });
    }

    static String address(int port) {
        return "127.0.0.1:" + port;
    }

    /** An id as the wires have it. */
    static String hex(long id) {
        return String.format("%016x", id);
    }

    @Override
    public void close() {
        live.close();
        pool.shutdownNow();
    }
}
