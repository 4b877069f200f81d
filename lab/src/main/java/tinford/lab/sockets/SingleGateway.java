package tinford.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One real gateway process on loopback, with a discovery agent that pushes one list and a counter
 * that accepts connections and says nothing. It serves to see starts, signals and what a start asks
 * of others.
 */
public final class SingleGateway implements AutoCloseable {
    private static final long READY_MS = 20_000;
    private static final long LOG_MS = 5_000;
    private static final long END_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 2;

    private static final int FIRST_TARGET_MS = 1500;
    private static final String CONFIGURATION_READ_LINE = "configuration reloaded";
    private final Path configuration;
    private final Path log;
    private final int port = FreePort.find();
    private final ServerSocket discovery = listen();
    private final ServerSocket counter = listen();
    private final AtomicInteger listsAsked = new AtomicInteger();
    private final AtomicInteger counterConnections = new AtomicInteger();
    private final String list;
    private final int routes;
    private final int counterPort;
    private Process process;
    private long configurationBytes;

    /** It is configured, and not started yet. */
    public SingleGateway(int routes, int servers, Path folder) throws IOException {
        this(routes, servers, folder, 0);
    }

    /**
     * @param otherCounter the port of a counter in place of the one that says nothing, or 0
     */
    public SingleGateway(int routes, int servers, Path folder, int otherCounter)
            throws IOException {
        this.routes = routes;
        this.counterPort = otherCounter == 0 ? counter.getLocalPort() : otherCounter;
        this.list = EndpointListDocument.whole(servers);
        this.configuration = folder.resolve("gateway.json");
        this.log = folder.resolve("gateway.log");
        accept(discovery, this::tellList);
        accept(counter, socket -> counterConnections.incrementAndGet());
        configure(FIRST_TARGET_MS);
    }

    /** What is done with a connection that has come. */
    private interface Guest {
        void serve(Socket socket) throws IOException;
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static void accept(ServerSocket door, Guest guest) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    guest.serve(door.accept());
                                }
                            } catch (IOException e) {
                                // the door is shut: the run is over
                            }
                        },
                        "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void tellList(Socket socket) {
        try {
            RespConnection wire = new RespConnection(socket);
            for (String line = wire.line(); line != null && !line.isEmpty(); line = wire.line()) {}
            listsAsked.incrementAndGet();
            String chunk = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
            wire.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
        } catch (IOException e) {
            // the gateway has gone
        }
    }

    /** Writes a configuration in which the first route has this target. */
    public void configure(int firstTargetMs) throws IOException {
        GatewayFile file =
                new GatewayFile(port, discovery.getLocalPort(), counterPort, routes, firstTargetMs);
        configurationBytes = file.write(configuration);
    }

    /** Starts the process and waits until it answers a PING; gives how long that took, ms. */
    public double start() throws IOException, InterruptedException {
        long began = System.nanoTime();
        List<String> words = new ArrayList<>(BenchInterceptor.JAVA);
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), "tinford.Main"));
        words.add("serve");
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("ROUTER_CONFIG", configuration.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        awaitPong(began);
        return (System.nanoTime() - began) / 1e6;
    }

    private void awaitPong(long began) throws IOException, InterruptedException {
        while (!answersPing()) {
            boolean late = System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(READY_MS);
            if (late || !process.isAlive()) {
                throw new IOException("the gateway did not start: " + Files.readString(log));
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private boolean answersPing() {
        try (RespConnection wire =
                new RespConnection(new Socket(InetAddress.getLoopbackAddress(), port))) {
            wire.socket.setSoTimeout(1000);
            wire.say(RespConnection.command("PING"));
            return "+PONG".equals(wire.answer());
        } catch (IOException e) {
            return false; // not up yet
        }
    }

    /** Sends SIGHUP, and gives the line in which the gateway says what it took over. */
    public String hangUp() throws IOException, InterruptedException {
        long before = lines(CONFIGURATION_READ_LINE).size();
        new ProcessBuilder("sh", "-c", "kill -HUP \"$0\"", Long.toString(process.pid()))
                .start()
                .waitFor();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOG_MS);
        while (lines(CONFIGURATION_READ_LINE).size() == before) {
            if (System.nanoTime() > until) {
                throw new IOException(
                        "no word of a new configuration, the process "
                                + (process.isAlive() ? "lives: " : "has ended: ")
                                + Files.readString(log));
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        List<String> found = lines(CONFIGURATION_READ_LINE);
        return found.get(found.size() - 1);
    }

    private List<String> lines(String with) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(with)).toList();
    }

    /** Sends SIGTERM and waits for the end; gives how long that took, ms. */
    public double end() throws IOException, InterruptedException {
        long began = System.nanoTime();
        process.destroy();
        if (!process.waitFor(END_MS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the gateway did not end");
        }
        return (System.nanoTime() - began) / 1e6;
    }

    /** Where clients find it. */
    public int port() {
        return port;
    }

    /** Processor time that the process has used, ms. */
    public double processorMs() {
        return process.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1e6;
    }

    public int listsAsked() {
        return listsAsked.get();
    }

    public int counterConnections() {
        return counterConnections.get();
    }

    public int listBytes() {
        return list.length();
    }

    public long configurationBytes() {
        return configurationBytes;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
        try {
            discovery.close();
            counter.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
