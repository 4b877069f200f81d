package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import picocli.CommandLine;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.FollowerReport;

/** The operator's commands: what they print and their exit codes. */
public class CommandsTest {
    private final ControlClient client = new ControlClient();
    private InMemoryLogsFixture logs;
    private ControlServer server;
    private String address;
    private Path file;
    private StringWriter out;
    private StringWriter err;

    @BeforeMethod
    public void start() throws IOException {
        logs = new InMemoryLogsFixture(1);
        server = ControlServerFixtures.voter(logs, 1);
        address = "127.0.0.1:" + server.address().getPort();
        file = Files.createTempFile("changes", ".json");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        server.close();
        logs.close();
        Files.delete(file);
    }

    private int run(String... arguments) {
        out = new StringWriter();
        err = new StringWriter();
        CommandLine commands = Main.commandLine();
        commands.setOut(new PrintWriter(out, true));
        commands.setErr(new PrintWriter(err, true));
        return commands.execute(arguments);
    }

    private int enter(String content) throws IOException {
        Files.writeString(file, content);
        return run("enter", file.toString(), "--servers", address);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private void report(String follower, long revision, String refusal) throws Exception {
        byte[] body =
                ConfigurationCodec.encode(new FollowerReport(follower, "east", revision, refusal));
        assertEquals(client.post(server.address(), "/followers/" + follower, body).status(), 204);
    }

    @Test
    public void enterPrintsTheRevisionAndGeneratesAnId() throws Exception {
        String changes = "{\"version\":1,\"changes\":[{\"putService\":{\"name\":\"%s\"}}]}";
        assertEquals(enter(changes.formatted("search")), ExitCode.OK);
        assertEquals(out.toString().strip(), "revision 1");
        assertEquals(enter(changes.formatted("mail")), ExitCode.OK);
        assertEquals(out.toString().strip(), "revision 2");
        assertEquals(run("revert", "1", "--servers", address), ExitCode.OK);
        assertEquals(out.toString().strip(), "revision 3");
    }

    @Test
    public void rejectionIsPrintedWithKeyAndExpectation() throws Exception {
        int code =
                enter(
                        "{\"version\":1,\"id\":\"p\",\"changes\":[{\"putTenant\":"
                                + "{\"id\":1,\"plan\":\"missing\"}}]}");
        assertEquals(code, ExitCode.REJECTED);
        assertTrue(err.toString().contains("plan: expected "), err.toString());
        assertEquals(run("revert", "9", "--servers", address), ExitCode.REJECTED);
        assertTrue(err.toString().startsWith("revertTo: expected "), err.toString());
    }

    @Test
    public void unusableFileIsRejected() throws Exception {
        assertEquals(enter("{"), ExitCode.REJECTED);
        assertTrue(err.toString().startsWith(file + ": "), err.toString());
        assertEquals(enter("{\"version\":1,\"changes\":7}"), ExitCode.REJECTED);
        assertEquals(enter(" ".repeat(600_000)), ExitCode.REJECTED);
        assertEquals(run("enter", "/no/such", "--servers", address), ExitCode.REJECTED);
    }

    @Test
    public void wrongCommandLinesPrintTheUsage() {
        assertEquals(run(), ExitCode.USAGE);
        assertEquals(run("fly"), ExitCode.USAGE);
        assertEquals(run("status"), ExitCode.USAGE);
        assertEquals(run("status", "--servers", "name:80"), ExitCode.USAGE);
        assertTrue(err.toString().contains("expected a numeric host:port"), err.toString());
        assertEquals(run("revert", "x", "--servers", address), ExitCode.USAGE);
    }

    @Test
    public void proposalIsSurelyNotTakenWithoutAServer() throws Exception {
        String nobody = freeAddress();
        int code = run("revert", "0", "--servers", nobody, "--within", "1");
        assertEquals(code, ExitCode.UNAVAILABLE);
        assertTrue(err.toString().startsWith("surely not taken"), err.toString());
        assertEquals(run("status", "--servers", nobody), ExitCode.UNAVAILABLE);
    }

    @Test
    public void unreachableServerIsSkipped() throws Exception {
        String content = "{\"version\":1,\"changes\":[{\"putService\":{\"name\":\"a\"}}]}";
        Files.writeString(file, content);
        String both = freeAddress() + "," + address;
        assertEquals(run("enter", file.toString(), "--servers", both), ExitCode.OK);
        assertEquals(run("status", "--servers", both), ExitCode.REJECTED, "one is down");
        assertTrue(out.toString().contains("not reached"), out.toString());
    }

    @Test
    public void statusPrintsWhoLags() throws Exception {
        enter("{\"version\":1,\"changes\":[{\"putService\":{\"name\":\"a\"}}]}");
        report("gw-1", 1, null);
        report("gw-2", 1, null);
        assertEquals(run("status", "--servers", address, "--expect", "2"), ExitCode.OK);
        assertTrue(out.toString().contains("at 1: 2"), out.toString());
        assertEquals(run("status", "--servers", address, "--expect", "3"), ExitCode.REJECTED);
        assertEquals(run("status", "--servers", address, "--revision", "2"), ExitCode.REJECTED);
        report("gw-2", 0, "routes.a: expected more");
        assertEquals(run("status", "--servers", address), ExitCode.REJECTED);
        assertTrue(out.toString().contains("lagging gw-2 east revision 0"), out.toString());
        assertTrue(out.toString().contains("refused: routes.a"), out.toString());
    }

    @Test
    public void servePrintsAllErrorsOfItsFile() throws Exception {
        Files.writeString(file, "[server]\nfleet = \"f\"\nrole = \"boss\"\nlisten = 7\n");
        assertEquals(run("serve", file.toString()), ExitCode.REJECTED);
        assertTrue(err.toString().contains(file + ", line 4: server.listen: expected "));
        assertTrue(err.toString().contains("server.name: expected "), err.toString());
    }
}
