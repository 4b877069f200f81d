package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static tinford.program.ConfigurationJson.endpointJson;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.sendChunk;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Starts with configurations that lack optional parts, or are invalid. */
public class StartConfigurationTest extends GatewayFixture {
    private String settings = "";

    @Override
    String configuration() {
        String all = super.configuration();
        return settings.isEmpty()
                ? all
                : all.substring(0, all.indexOf("\"settings\":")) + "\"settings\":" + settings + "}";
    }

    private static final String MINIMAL_SETTINGS =
            "{\"Classes\":[{\"Name\":\"read\",\"HardLimitUs\":4000000,\"Effect\":\"read_like\"}],"
                + "\"Limits\":{\"MaxAttempts\":3},\"NInstances\":1,\"Rules\":{\"ColdUs\":10000000,\"FallMultiple\":2},"
                + "\"Tariffs\":[{\"Name\":\"free\"}]}";

    @DataProvider
    public Object[][] acceptedConfigurations() {
        return new Object[][] {
            {"", "", MINIMAL_SETTINGS},
            {"\"sockets\":1024", "\"sockets\":4294967296", ""},
            {"\"known\":", "\"old\":", ""},
            {"\"HardLimitUs\":4000000", "\"HardLimitUs\":1e300", ""},
        };
    }

    /** The gateway serves, and drains at SIGTERM. */
    @Test(dataProvider = "acceptedConfigurations")
    public void unusualConfigurationIsAccepted(String part, String instead, String set)
            throws Exception {
        settings = set;
        TestConnection client = startGateway(part, instead);
        TestConnection watch = accept(discovery);
        watch.readLine();
        sendChunk(
                watch,
                "{\"seq\":43,\"whole\":true,\"hosts\":["
                        + endpointJson(0, servers[0], "ready")
                        + "]}\n",
                true);
        CountDownLatch signalled = new CountDownLatch(1);
        answerAll(servers[0], requestId(9999), signalled);
        String received = "";
        // requests are rejected until the endpoint list is read
        for (int n = 1; !received.equals("for " + requestId(n - 1)); n++) {
            assertTrue(n < 5000, "never served: " + received);
            received = client.send(readCommand(n)).receive();
        }
        client.send(readCommand(9999));
        gateway.toHandle().destroy();
        // by then its listener is closed
        assertFalse(gateway.waitFor(1, TimeUnit.SECONDS), "exited with a request in flight");
        signalled.countDown();
        assertEquals(client.receive(), "for " + requestId(9999));
        assertEquals(client.receive(), null);
        client.socket.close();
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }

    @DataProvider
    public Object[][] rejectedConfigurations() {
        return new Object[][] {
            {"\"sockets\":1024", "\"sockets\":47", "limits.sockets: expected 48 or more"},
            {
                "\"sockets\":1024",
                "\"sockets\":-9223372036854775808",
                "limits.sockets: expected 48 or more"
            },
            {
                "\"health\":\"ready\"",
                "\"health\":\"well\"",
                "known.hosts.health: expected ready, draining or gone"
            },
            {"\"known\":", "\"known\":[],\"old\":", "known: expected an object"},
            {
                "\"WindowUs\":3000000",
                "\"WindowUs\":-1",
                "settings.Classes.WindowUs: expected a number from 0 on"
            },
        };
    }

    /** One line that names the field, and exit code 1. */
    @Test(dataProvider = "rejectedConfigurations")
    public void invalidConfigurationEndsTheStart(String part, String instead, String line)
            throws Exception {
        settings = "";
        assertTrue(configuration().contains(part));
        Files.writeString(configurationFile, configuration().replace(part, instead));
        gateway = startProcess(Map.of("ROUTER_CONFIG", configurationFile.toString()));
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS), "it has not exited");
        String answer = Files.readString(logFile);
        assertTrue(answer.contains("tinford: configuration: " + line), answer);
        assertFalse(answer.contains("\tat "), answer);
        assertEquals(gateway.exitValue(), 1);
    }

    @DataProvider
    public Object[][] invalidStarts() {
        return new Object[][] {
            {null, null, "environment: ROUTER_CONFIG: expected the path of the configuration"},
            {"", "{", "configuration: text: expected JSON"},
            {"", "{\"settings\":3}", "configuration: settings: expected an object"},
            {
                "\"seed\":",
                "\"management\":\"here\",\"seed\":",
                "configuration: management: expected a numeric host:port"
            },
            {
                "\"seed\":\"8c1f30d27a5be964\"",
                "\"seed\":\"new\"",
                "configuration: seed: expected a number in hex digits"
            },
            {
                "\"QuotaRate\":1}",
                "\"QuotaRate\":\"x\"}",
                "configuration: settings.Tariffs.QuotaRate: expected a number"
            },
            {
                "\"discovery\":\"",
                "\"discovery\":\"host.example",
                "configuration: discovery: expected a numeric host:port"
            },
            {
                "\"sockets\":1024",
                "\"socks\":1024",
                "configuration: limits.sockets: expected a whole number"
            },
            {"taken", "", "an address to listen on is not free"},
        };
    }

    /** One line that names the variable or field, and exit code 1. */
    @Test(dataProvider = "invalidStarts")
    public void invalidStartNamesTheField(String part, String instead, String line)
            throws Exception {
        String text = configuration();
        if (part != null && part.equals("taken")) {
            closeables.add(new ServerSocket(clientPort, 1, InetAddress.getLoopbackAddress()));
        } else if (part != null) {
            assertTrue(text.contains(part));
            text = part.isEmpty() ? instead : text.replace(part, instead);
        }
        Files.writeString(configurationFile, text);
        gateway =
                startProcess(
                        part == null
                                ? Map.of()
                                : Map.of("ROUTER_CONFIG", configurationFile.toString()));
        assertTrue(gateway.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 1);
        String answer = Files.readString(logFile);
        assertTrue(answer.contains("tinford: " + line), answer);
        assertFalse(answer.contains("\tat "), answer);
    }
}
