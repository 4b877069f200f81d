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

/** Addresses are parsed without a name lookup, which would block. */
public class AddressesTest {
    /** Parses its argument as an address, and prints the result. */
    public static final class AddressPrinter {
        private AddressPrinter() {}

        public static void main(String[] arguments) {
            System.out.println(Addresses.of(arguments[0]));
        }
    }

    @DataProvider
    public Object[][] misleadingNames() {
        return new Object[][] {{"999.1.1.1"}, {"256.0.0.1"}, {"1.2.3.4.5"}, {"1.2.3.4."}};
    }

    /** Runs in a process whose hosts file contains the name, so that a lookup would succeed. */
    @Test(dataProvider = "misleadingNames")
    public void nameIsNotLookedUp(String name) throws Exception {
        Path hosts = Files.createTempFile("hosts", "");
        try {
            Files.writeString(hosts, "10.9.9.9 " + name + "\n");
            Process printer =
                    new ProcessBuilder(
                                    System.getProperty("java.home")
                                            + File.separator
                                            + "bin"
                                            + File.separator
                                            + "java",
                                    "-Djdk.net.hosts.file=" + hosts,
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    AddressPrinter.class.getName(),
                                    name + ":80")
                            .redirectErrorStream(true)
                            .start();
            String printed = new String(printer.getInputStream().readAllBytes());
            assertTrue(printer.waitFor(30, TimeUnit.SECONDS));
            assertEquals(printed.strip(), "null");
        } finally {
            Files.delete(hosts);
        }
    }

    @DataProvider
    public Object[][] numericAddresses() {
        return new Object[][] {
            {"127.0.0.1:80"},
            {"255.249.199.9:65535"},
            {"0.0.0.0:1"},
            {"[::1]:80"},
            {"[fe80::1.2.3.4]:80"}
        };
    }

    @Test(dataProvider = "numericAddresses")
    public void numericAddressIsResolved(String text) {
        assertTrue(Addresses.of(text) != null && !Addresses.of(text).isUnresolved());
    }

    @DataProvider
    public Object[][] texts() {
        return new Object[][] {
            {"127.0.0.1:80", true},
            {"[::1]:80", true},
            {"127.0.0.1", false},
            {"127.0.0.1:0", false},
            {"127.0.0.1:65536", false},
            {"host.example:80", false},
            {":80", false},
            {"127.0.0.1:x", false},
        };
    }

    @Test(dataProvider = "texts")
    public void addressHasANumericHostAndAPort(String text, boolean valid) {
        assertEquals(Addresses.of(text) != null, valid);
    }

    /** Logged warnings are retained for a while, so their length must be bounded. */
    @Test
    public void errorQuotesOnlyTheBeginningOfALongText() {
        JsonFields fields =
                JsonFields.of(
                        new JsonFactory(),
                        "discovery",
                        "{\"dial\":\"" + "1".repeat(1 << 20) + "\"}");
        InvalidSettingsException error =
                expectThrows(InvalidSettingsException.class, () -> Addresses.of(fields, "dial"));
        assertEquals(
                error.getMessage().replaceAll("1+$", ""),
                "discovery: dial: expected a numeric host:port, not ");
        assertTrue(error.getMessage().length() < 120, "length: " + error.getMessage().length());
    }
}
