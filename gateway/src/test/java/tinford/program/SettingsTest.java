package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The program started with configurations that lack what may be missing, or hold what can't be
 * taken.
 */
public class SettingsTest extends Surroundings {
    private String settings = "";

    @Override
    String configuration() {
        String all = super.configuration();
        return settings.isEmpty()
                ? all
                : all.substring(0, all.indexOf("\"settings\":")) + "\"settings\":" + settings + "}";
    }

    private static final String LEAST =
            "{\"Classes\":[{\"Name\":\"read\",\"HardLimitUs\":4000000,\"Effect\":\"read_like\"}],"
                + "\"Limits\":{\"MaxAttempts\":3},\"NInstances\":1,\"Rules\":{\"ColdUs\":10000000,\"FallMultiple\":2},"
                + "\"Tariffs\":[{\"Name\":\"free\"}]}";

    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {"", "", LEAST},
            {"\"sockets\":1024", "\"sockets\":4294967296", ""},
            {"\"known\":", "\"old\":", ""},
            {"\"HardLimitUs\":4000000", "\"HardLimitUs\":1e300", ""},
        };
    }

    /** It serves, answers what is out when it is told to end, and ends. */
    @Test(dataProvider = "runs")
    public void whatMayBeMissingOrOddStopsNothing(String part, String instead, String set)
            throws Exception {
        settings = set;
        Talk client = up(part, instead);
        Talk watch = accept(discovery);
        watch.line();
        chunk(
                watch,
                "{\"seq\":43,\"whole\":true,\"hosts\":[" + entry(0, servers[0], "ready") + "]}\n",
                true);
        CountDownLatch signalled = new CountDownLatch(1);
        serveAll(servers[0], id(9999), signalled);
        String heard = "";
        for (int n = 1; !heard.equals("for " + id(n - 1)); n++) { // denied until the list is read
            assertTrue(n < 5000, "never served: " + heard);
            heard = client.say(ask(n)).hear();
        }
        client.say(ask(9999));
        gateway.toHandle().destroy();
        assertFalse(
                gateway.waitFor(1, TimeUnit.SECONDS),
                "gone with a req out"); // its door is closed by then
        signalled.countDown();
        assertEquals(client.hear(), "for " + id(9999));
        assertEquals(client.hear(), null);
        client.socket.close();
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }

    @DataProvider
    public Object[][] stops() {
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

    /** One line, and the exit code 1. */
    @Test(dataProvider = "stops")
    public void whatCannotBeTakenEndsTheStart(String part, String instead, String line)
            throws Exception {
        settings = "";
        assertTrue(configuration().contains(part));
        Files.writeString(config, configuration().replace(part, instead));
        gateway = start(Map.of("ROUTER_CONFIG", config.toString()));
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS), "it goes on");
        String said = Files.readString(log);
        assertTrue(said.contains("tinford: configuration: " + line), said);
        assertFalse(said.contains("\tat "), said);
        assertEquals(gateway.exitValue(), 1);
    }
}
