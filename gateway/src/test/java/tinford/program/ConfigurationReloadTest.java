package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static tinford.program.Wire.countedCommand;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendChunk;
import static tinford.program.Wire.valueReply;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.testing.Eventually;

/** A new configuration for a process that runs. */
public class ConfigurationReloadTest extends GatewayFixture {
    private void reloadConfiguration(String text) throws Exception {
        Files.writeString(configurationFile, text);
        assertEquals(
                new ProcessBuilder("kill", "-HUP", Long.toString(gateway.pid())).start().waitFor(),
                0);
    }

    /**
     * SIGHUP does not end the process from the moment on in which it listens. Interpreted code and
     * a shell that is ready to send the signal make that moment easy to meet.
     */
    @Test(invocationCount = 4)
    public void configurationIsReloadedRightAfterTheStart() throws Exception {
        Files.writeString(configurationFile, configuration());
        gateway =
                startProcess(
                        Map.of(
                                "ROUTER_CONFIG",
                                configurationFile.toString(),
                                "JAVA_TOOL_OPTIONS",
                                "-Xint"));
        Process signal =
                new ProcessBuilder(
                                "sh", "-c", "read go; kill -HUP $0", Long.toString(gateway.pid()))
                        .start();
        boolean isListening = false;
        while (!isListening) {
            isListening = tryConnect();
            assertTrue(isListening || gateway.isAlive(), "not up: " + Files.readString(logFile));
        }
        signal.getOutputStream().write('\n');
        signal.getOutputStream().close();
        assertEquals(signal.waitFor(), 0);
        awaitLogWhileAlive("configuration reloaded");
    }

    private boolean tryConnect() {
        try {
            connectClient();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void awaitLogWhileAlive(String text) throws Exception {
        Eventually.await(
                text,
                () -> {
                    assertTrue(gateway.isAlive(), "ended by the signal");
                    return Files.readString(logFile).contains(text);
                });
    }

    /** Several times, with a request in flight: none is lost. */
    @Test
    public void reloadMovesCounterAndDiscovery() throws Exception {
        TestConnection client = startGateway();
        for (int i = 1; i < 4; i++) {
            CounterFixture count = new CounterFixture(this);
            assertEquals(
                    accept(discovery).readLine(),
                    "GET /registry/instances?watch=1&after=41 HTTP/1.1");
            client.send(readCommand(i));
            TestConnection server = accept(servers[0]);
            assertTrue(server.receive().contains(requestId(i)));
            discovery = openServerSocket();
            counter = openServerSocket();
            reloadConfiguration(configuration());
            assertEquals(count.receive(), CounterFixture.CONNECTION_CLOSED);
            server.send(valueReply("over the change"));
            assertEquals(client.receive(), "over the change");
            server.socket.close();
        }
    }

    /** Discovery moves, and no SIGHUP has announced it. */
    @Test
    public void modifiedConfigurationIsReadWhenTheWatchIsLost() throws Exception {
        startGateway();
        TestConnection watch = accept(discovery);
        accept(counter);
        assertEquals(watch.readLine(), "GET /registry/instances?watch=1&after=41 HTTP/1.1");
        sendChunk(watch, "{\"seq\":43,\"whole\":false,\"hosts\":[]}\n", true);
        ServerSocket before = discovery;
        discovery = openServerSocket();
        counter = openServerSocket();
        Path next = Files.createTempFile("tinford", ".json");
        Files.writeString(next, configuration());
        Files.setLastModifiedTime(
                next,
                FileTime.fromMillis(Files.getLastModifiedTime(configurationFile).toMillis() + 1));
        Files.move(next, configurationFile, StandardCopyOption.REPLACE_EXISTING);
        before.close();
        watch.socket.close();
        assertEquals(
                accept(discovery).readLine(), "GET /registry/instances?watch=1&after=43 HTTP/1.1");
        accept(counter);
    }

    @DataProvider
    public Object[][] invalidConfigurations() {
        return new Object[][] {
            {"", "{", "configuration: text: expected JSON"},
            {
                "\"discovery\":\"",
                "\"discovery\":\"host.example",
                "configuration: discovery: expected a numeric host:port"
            },
            {"\"counter\":\"", "\"count\":\"", "configuration: counter: expected a text"},
        };
    }

    /** The configuration in force stays, and the log says why. */
    @Test(dataProvider = "invalidConfigurations")
    public void invalidReloadChangesNothing(String part, String instead, String line)
            throws Exception {
        TestConnection client = startGateway();
        TestConnection[] wires = {
            accept(counter), accept(counter), accept(counter), accept(counter)
        };
        ServerSocket[] before = {discovery, counter};
        discovery = openServerSocket();
        counter = openServerSocket();
        String good = configuration();
        reloadConfiguration(part.isEmpty() ? instead : good.replace(part, instead));
        awaitLogWhileAlive("configuration reload rejected: " + line);
        client.send(countedCommand(1));
        answerAll(servers[0]);
        assertTrue(client.receive().startsWith("for ")); // with or without the counter
        int calls = 0;
        for (TestConnection t : wires) {
            calls += t.in.available();
        }
        assertTrue(calls > 0);
        before[1].setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, before[1]::accept);
        reloadConfiguration(good);
        accept(counter);
        accept(discovery);
    }
}
