package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.settings.InvalidOperatorFileException;

/** The operator file of a control server. */
public class ControlSettingsReaderTest {
    private static final String SERVER =
            """
            [server]
            fleet = "main"
            region = "east"
            name = "control-1"
            listen = "127.0.0.1:7500"
            folder = "/var/lib/x"
            """;
    private static final String VOTER =
            SERVER
                    + """
                      role = "voter"
                      [voters]
                      number = 2
                      members = ["1=127.0.0.1:1", "2=127.0.0.1:2", "3=127.0.0.1:3"]
                      """;
    private static final String REPLICA =
            SERVER
                    + """
                      role = "replica"
                      [replica]
                      upstream = ["east=127.0.0.1:7501", "west=127.0.0.1:7502"]
                      """;

    @Test
    public void deployedFileCanBeRead() throws Exception {
        ControlSettings read = ControlSettingsReader.read(Path.of("../deploy/control.toml"));
        assertEquals(read.role(), Role.VOTER);
        assertEquals(read.voters().members().size(), 5);
        assertEquals(read.timing(), ControlSettings.WatchTiming.DEFAULT);
    }

    @Test
    public void voterAndReplicaAreRead() throws Exception {
        ControlSettings voter = ControlSettingsReader.parse("f", VOTER);
        assertEquals(voter.voters().number(), 2);
        assertEquals(voter.voters().members().get(3).getPort(), 3);
        ControlSettings replica = ControlSettingsReader.parse("f", REPLICA);
        assertEquals(replica.upstream().get(1).region(), "west");
        assertEquals(replica.upstream().get(1).port(), 7502);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {VOTER.replace("east", "e st"), "f, line 3: server.region: expected 1 to 64"},
            {VOTER.replace(":7500", ""), "f, line 5: server.listen: expected a numeric host:port"},
            {VOTER.replace("\"voter\"", "\"boss\""), "f, line 7: server.role: expected \"voter\""},
            {VOTER.replace("folder = ", "folder = 7 #"), "f, line 6: server.folder: expected"},
            {VOTER.replace("number = 2", "number = 4"), "f, line 9: voters.number: expected"},
            {VOTER.replace("2=127", "1=127"), "f, line 10: voters.members: expected each number"},
            {VOTER.replace("3=127.0.0.1:3", "three"), "f, line 10: voters.members: expected"},
            {VOTER + "silence_ms = 5\n", "f, line 11: voters.silence_ms: expected a number from"},
            {VOTER + "speed = 5\n", "f, line 11: voters.speed: expected one of the keys ["},
            {VOTER.replace("fleet = \"main\"\n", ""), "f: server.fleet: expected a name"},
            {VOTER.replace("[voters]", "[voters"), "f, line 8: expected TOML"},
            {"name = \"x\"\n" + VOTER, "f, line 1: name: expected a table, not a top-level value"},
            {REPLICA.replace("east=127.0.0.1:7501", "east"), "f, line 9: replica.upstream"},
            {REPLICA.replaceAll("upstream.*", ""), "f: replica.upstream: expected one or more"},
        };
    }

    @Test(dataProvider = "faults")
    public void errorIsOneLineWithFileLineKeyAndExpectation(String text, String expected) {
        InvalidOperatorFileException invalid =
                expectThrows(
                        InvalidOperatorFileException.class,
                        () -> ControlSettingsReader.parse("f", text));
        assertTrue(
                invalid.getMessage().lines().anyMatch(line -> line.startsWith(expected)),
                invalid.getMessage());
    }

    @Test
    public void allErrorsAreReportedAtOnce() {
        String text = VOTER.replace("east", "e st").replace("number = 2", "number = 4");
        InvalidOperatorFileException invalid =
                expectThrows(
                        InvalidOperatorFileException.class,
                        () -> ControlSettingsReader.parse("f", text));
        assertEquals(invalid.getMessage().lines().count(), 2);
    }
}
