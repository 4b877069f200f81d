package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;

/** What stands for an address is read without asking anybody. */
public class AddressesTest {
    /** Prints what the address given is taken for. */
    public static final class Says {
        private Says() {}

        public static void main(String[] address) {
            System.out.println(Addresses.of(address[0]));
        }
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {{"999.1.1.1"}, {"256.0.0.1"}, {"1.2.3.4.5"}, {"1.2.3.4."}};
    }

    /** In a process that knows such a name, so that a look-up shows. */
    @Test(dataProvider = "names")
    public void noNameIsLookedUp(String name) throws Exception {
        Path hosts = Files.createTempFile("hosts", "");
        try {
            Files.writeString(hosts, "10.9.9.9 " + name + "\n");
            Process p =
                    new ProcessBuilder(
                                    System.getProperty("java.home")
                                            + File.separator
                                            + "bin"
                                            + File.separator
                                            + "java",
                                    "-Djdk.net.hosts.file=" + hosts,
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Says.class.getName(),
                                    name + ":80")
                            .redirectErrorStream(true)
                            .start();
            String said = new String(p.getInputStream().readAllBytes());
            assertTrue(p.waitFor(30, TimeUnit.SECONDS));
            assertEquals(said.strip(), "null");
        } finally {
            Files.delete(hosts);
        }
    }

    @DataProvider
    public Object[][] numeric() {
        return new Object[][] {
            {"127.0.0.1:80"},
            {"255.249.199.9:65535"},
            {"0.0.0.0:1"},
            {"[::1]:80"},
            {"[fe80::1.2.3.4]:80"}
        };
    }

    @Test(dataProvider = "numeric")
    public void whatIsNumericIsAnAddress(String text) {
        assertTrue(Addresses.of(text) != null && !Addresses.of(text).isUnresolved());
    }

    /** What is complained of is kept for a while: of a text without end only its beginning. */
    @Test
    public void aLongOneIsNamedByItsBeginning() {
        JsonFields in =
                JsonFields.of(
                        new JsonFactory(),
                        "discovery",
                        "{\"dial\":\"" + "1".repeat(1 << 20) + "\"}");
        InvalidSettingsException bad =
                expectThrows(InvalidSettingsException.class, () -> Addresses.of(in, "dial"));
        assertEquals(
                bad.getMessage().replaceAll("1+$", ""),
                "discovery: dial: expected a numeric host:port, not ");
        assertTrue(bad.getMessage().length() < 120, "of " + bad.getMessage().length());
    }
}
