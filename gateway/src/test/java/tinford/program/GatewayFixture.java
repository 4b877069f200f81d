package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.gatewayJson;
import static tinford.program.ConfigurationJson.loopback;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import tinford.testing.Eventually;
import tinford.testing.FreePort;

/**
 * Runs the gateway as a process of its own. Its clients, servers, counter and discovery are played
 * by the test, over loopback.
 */
abstract class GatewayFixture {
    static final int TIMEOUT_MS = Eventually.DEFAULT_TIMEOUT_MS;
    private static final int BACKLOG = 50;
    private static final long CONNECTION_REST_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** Closed after each test. */
    final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();

    ServerSocket discovery;
    ServerSocket counter;
    ServerSocket[] servers;
    int clientPort;
    Path configurationFile;
    Path logFile;

    /** What the processes of one gateway share; made by {@link #createSharedFolder}. */
    Path sharedFolder;

    Process gateway;

    @BeforeMethod
    public void setUp() throws IOException {
        discovery = openServerSocket();
        counter = openServerSocket();
        servers = new ServerSocket[] {openServerSocket(), openServerSocket()};
        clientPort = FreePort.find();
        configurationFile = Files.createTempFile("tinford", ".json");
        logFile = Files.createTempFile("tinford", ".log");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        if (gateway != null) {
            gateway.destroyForcibly();
        }
        for (AutoCloseable c : closeables) {
            c.close();
        }
        closeables.clear();
        Files.delete(configurationFile);
        Files.delete(logFile);
    }

    ServerSocket openServerSocket() throws IOException {
        ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        closeables.add(server);
        return server;
    }

    String configuration() {
        return gatewayJson(clientPort, discovery, counter, servers[0]);
    }

    /** The program with its arguments, as the operating system is to start it. */
    List<String> commandLine() {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")),
                "tinford.Main",
                "serve");
    }

    Process startProcess(Map<String, String> environment) throws IOException {
        return startProcess(environment, logFile);
    }

    private Process startProcess(Map<String, String> environment, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(commandLine());
        builder.environment().putAll(environment);
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    TestConnection startGateway() throws Exception {
        return startGateway("", "");
    }

    /**
     * Starts the program, with a part of its configuration replaced.
     *
     * @return a client's connection, over which a PING was answered
     */
    TestConnection startGateway(String part, String replacement) throws Exception {
        String text = configuration();
        Files.writeString(
                configurationFile, part.isEmpty() ? text : text.replace(part, replacement));
        gateway = startProcess(Map.of("ROUTER_CONFIG", configurationFile.toString()));
        TestConnection[] client = new TestConnection[1];
        Eventually.await(
                "a gateway that accepts clients",
                () -> {
                    assertTrue(gateway.isAlive(), "not up: " + Files.readString(logFile));
                    client[0] = connectAndPing();
                    return client[0] != null;
                });
        return client[0];
    }

    /** Null when the gateway does not accept clients yet. */
    private TestConnection connectAndPing() {
        try {
            TestConnection client = connectClient();
            assertEquals(client.send(command("PING")).receive(), "+PONG");
            return client;
        } catch (IOException e) {
            return null;
        }
    }

    TestConnection connectClient() throws IOException {
        return connect(clientPort);
    }

    /**
     * Connects as soon as the gateway listens.
     *
     * @param pauseNanos between the attempts
     */
    TestConnection connectOnceListening(long pauseNanos) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            try {
                return connectClient();
            } catch (ConnectException e) {
                assertTrue(System.nanoTime() < deadlineNanos, "not listening in time");
                LockSupport.parkNanos(pauseNanos);
            }
        }
    }

    TestConnection connect(int port) throws IOException {
        return track(new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port)));
    }

    TestConnection accept(ServerSocket server) throws IOException {
        return track(new TestConnection(server.accept()));
    }

    /** Has the connection closed after the test. */
    TestConnection track(TestConnection connection) {
        closeables.add(connection.socket);
        return connection;
    }

    /**
     * Waits until the gateway uses a server connection again that has just brought an answer, by
     * the clock of the gateway's own machine.
     */
    static void awaitConnectionReuse(TestConnection client) throws IOException {
        long endNanos = System.nanoTime() + CONNECTION_REST_NANOS;
        while (System.nanoTime() < endNanos) {
            assertEquals(client.send(command("PING")).receive(), "+PONG");
        }
    }

    /** What a thread beside the test does; it ends with an exception when the test is over. */
    interface Interaction {
        void run() throws Exception;
    }

    static Thread startDaemon(Interaction interaction) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                interaction.run();
                            } catch (Exception e) {
                                // the test, or the peer, is gone
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Plays a server on every connection that it accepts from now on. */
    void acceptAll(ServerSocket server, ServerInteraction interaction) {
        startDaemon(
                () -> {
                    while (true) {
                        TestConnection connection = accept(server);
                        startDaemon(() -> interaction.run(connection));
                    }
                });
    }

    /** What a server does on one connection. */
    interface ServerInteraction {
        void run(TestConnection connection) throws Exception;
    }

    /** From now on every command is answered with its id. */
    void answerAll(ServerSocket server) {
        answerAll(server, "", new CountDownLatch(0));
    }

    /** The same, but the answer to the request with that id waits for the latch. */
    void answerAll(ServerSocket server, String delayedId, CountDownLatch latch) {
        acceptAll(
                server,
                connection -> {
                    for (String s = connection.receive(); s != null; s = connection.receive()) {
                        String id = idOf(s);
                        if (id.equals(delayedId)) {
                            latch.await();
                        }
                        connection.send(valueReply("for " + id));
                    }
                });
    }

    /**
     * Starts a process with an admin API, and waits until that reports it as ready.
     *
     * @param adminPort where the admin API listens
     */
    Process startManaged(int adminPort, Path log) throws Exception {
        String management = "\"management\":\"" + loopback(adminPort) + "\",";
        Files.writeString(
                configurationFile,
                configuration().replace("\"discovery\"", management + "\"discovery\""));
        Process process =
                startProcess(
                        Map.of(
                                "ROUTER_CONFIG",
                                configurationFile.toString(),
                                "TMPDIR",
                                sharedFolder.toString()),
                        log);
        closeables.add(process::destroyForcibly);
        Eventually.await(
                "a gateway that is ready",
                () -> {
                    assertTrue(process.isAlive(), "not up: " + Files.readString(log));
                    return callAdmin(adminPort, "GET /v1/readyz").equals("200");
                });
        return process;
    }

    Path createLogFile() throws IOException {
        Path log = Files.createTempFile("tinford", ".log");
        closeables.add(() -> Files.delete(log));
        return log;
    }

    /** The log is written by a thread of its own, so a line may come late. */
    static void awaitLog(Path log, String text) throws Exception {
        Eventually.await("\"" + text + "\" in " + log, () -> Files.readString(log).contains(text));
    }

    /** The status of the admin API's answer, or what went wrong. */
    String callAdmin(int adminPort, String methodAndPath) throws IOException {
        try {
            TestConnection connection = connect(adminPort);
            String head = methodAndPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
            String status = connection.send(head).readLine();
            connection.socket.close();
            return status == null ? "closed" : status.split(" ")[1];
        } catch (ConnectException e) {
            return "refused";
        }
    }

    void createSharedFolder() throws IOException {
        sharedFolder = Files.createTempDirectory("tinford");
        closeables.add(
                () -> {
                    try (var files = Files.list(sharedFolder)) {
                        for (Path p : files.toList()) {
                            Files.delete(p);
                        }
                    }
                    Files.delete(sharedFolder);
                });
    }
}
