package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.settings.InvalidOperatorFileException;

/** Errors in an operator file are reported with their place and what was expected. */
public class OperatorFileTest {
    private static List<String> errors(String text) {
        try {
            OperatorFile.of("f.toml", text);
            return List.of();
        } catch (InvalidOperatorFileException e) {
            return e.getMessage().lines().toList();
        }
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {
                "[talk]\nevery_ms = 20",
                "f.toml, line 2: talk.every_ms: expected a number from 50 to 10000"
            },
            {
                "[talk]\nfanout = \"two\"",
                "f.toml, line 2: talk.fanout: expected a number from 1 to 16"
            },
            {"[talk]\nfanout = nan", "f.toml, line 2: talk.fanout: expected a number from 1 to 16"},
            {"[overload]\n# how\non = 1", "f.toml, line 3: overload.on: expected true or false"},
            {
                "[budgets]\nstatic_part = 1.5",
                "f.toml, line 2: budgets.static_part: expected a number from 0 to 1"
            },
            {"[log]\nfolder = \" \"", "f.toml, line 2: log.folder: expected a folder that lasts"},
            {
                "[log]\nmembers = [1, 2]",
                "f.toml, line 2: log.members: expected a list of numeric host:port, one a gateway"
            },
            {
                "[log]\nmembers = [\"db:1\"]",
                "f.toml, line 2: log.members: expected numeric host:port, not db:1"
            },
            {
                "[talk]\non = 1\n[budgets]\nofer = 2",
                "f.toml, line 4: budgets.ofer: expected one of the keys ["
            },
            {
                "[configuration]\non = true\nfleet = \"f\"\nregion = \"r\"\nfolder = \"d\"",
                "f.toml, line 2: configuration.servers: expected one or more where"
            },
            {
                "[configuration]\non = true\nservers = [\"r=1.2.3.4:5\"]",
                "f.toml, line 2: configuration.fleet: expected where configuration.on is true"
            },
            {
                "[configuration]\nservers = [\"r=1.2.3.4:5\", \"1.2.3.4:5\"]",
                "f.toml, line 2: configuration.servers: expected region=numeric host:port, not"
                        + " 1.2.3.4:5"
            },
            {
                "[configuration]\nservers = [\"r=1.2.3.4:70000\"]",
                "f.toml, line 2: configuration.servers: expected region=numeric host:port, not"
            },
            {
                "[configuration]\nservers = \"r=1.2.3.4:5\"",
                "f.toml, line 2: configuration.servers: expected a list of region=numeric"
            },
            {
                "[configuration]\nfleet = \"f\"\nregion = \"a b\"",
                "f.toml, line 3: configuration.region: expected 1 to 64 of"
            },
            {"offer = 3", "f.toml, line 1: offer: expected a table, not a top-level value"},
            {
                "[budgets]\non = true",
                "f.toml: log.members: expected three or more, and log.folder, where budgets or"
                        + " moves are on"
            },
            {
                "[talk]\nevery_ms = 1000\nsuspect_ms = 2000",
                "f.toml, line 3: talk.suspect_ms: expected three times talk.every_ms or more"
            },
            {"[talk]\nevery_ms = = 3", "f.toml, line 2: expected TOML: "},
            {"[talk]\nevery_ms = 100\nevery_ms = 200", "f.toml, line 3: expected TOML: "},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void reportsEachErrorWithItsPlace(String text, String expectedError) {
        assertTrue(
                errors(text).stream().anyMatch(error -> error.startsWith(expectedError)),
                errors(text).toString());
    }

    @Test
    public void reportsAllErrorsAtOnce() {
        assertEquals(
                errors("[talk]\nevery_ms = 1\nfanout = 0\n[log]\nterm_ms = 1\n[none]\nx = 1\n")
                        .size(),
                4);
        assertThrows(
                InvalidOperatorFileException.class,
                () -> OperatorFile.read(Path.of("no", "such", "file")));
    }

    /** The example that operators start from is valid, and its values are the defaults. */
    @Test
    public void readsTheExampleWhoseValuesAreTheDefaults() throws Exception {
        OperatorFile example = OperatorFile.read(Path.of("..", "deploy", "fleet.toml"));
        OperatorFile empty = OperatorFile.of("f.toml", "");
        for (String key :
                List.of(
                        "talk.every_ms",
                        "overload.further_part",
                        "log.term_ms",
                        "budgets.offer",
                        "budgets.accounts")) {
            assertEquals(example.number(key), empty.number(key), key);
        }
    }

    @Test
    public void usesDefaultsForOmittedKeys() throws Exception {
        OperatorFile file = OperatorFile.of("f.toml", "[budgets]\noffer = 8\n");
        assertEquals(file.number("budgets.offer"), 8.0);
        assertEquals(file.number("log.term_ms"), 4000.0);
        assertTrue(file.flag("overload.on") && !file.flag("budgets.on"));
        assertEquals(file.texts("log.members"), List.of());
    }
}
