package tinford.lab.scale;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Passes streams on to a port on loopback and counts their bytes, each way. */
final class CountingRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 14;
    private final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final int target;
    private final AtomicLong there = new AtomicLong();
    private final AtomicLong back = new AtomicLong();
    private final Queue<Socket> open = new ConcurrentLinkedQueue<>();

    CountingRelay(int target) throws IOException {
        this.target = target;
        start(this::accept);
    }

    int port() {
        return door.getLocalPort();
    }

    /** Bytes towards the target. */
    long bytesThere() {
        return there.get();
    }

    /** Bytes from the target. */
    long bytesBack() {
        return back.get();
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = door.accept();
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            open.add(from);
            open.add(to);
            start(() -> pass(from, to, there));
            start(() -> pass(to, from, back));
        }
    }

    private static void pass(Socket from, Socket to, AtomicLong count) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
                count.addAndGet(n);
            }
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void start(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // one side has closed, or the relay has
                            }
                        },
                        "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            door.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
