package tinford;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The names that the simulator's protocol and the settings use are mapped to the code's terms in
 * the packages that read or write them, and must not be used in other packages.
 */
public class WireNamesTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "tinford");
    private static final Pattern STRING_LITERAL = Pattern.compile("\"(\\w+)\"");
    private static final Set<String> SIMULATOR_NAMES =
            Set.of(
                    "Up",
                    "Killed",
                    "Table",
                    "View",
                    "PassOn",
                    "StopAttempt",
                    "ReportFailure",
                    "Reject",
                    "Schedule",
                    "Alarm",
                    "Incr",
                    "KeepForUs",
                    "Added",
                    "NowAt",
                    "StayAwayUs",
                    "Publish",
                    "Whisper",
                    "Poll",
                    "Pong",
                    "ShutIdle",
                    "Begun",
                    "Finished",
                    "SeenUse",
                    "Settled",
                    "ClientLeft",
                    "ValidUntilUs",
                    "FromNo",
                    "FailureDomain",
                    "BornUs");
    private static final Set<String> SETTINGS_NAMES =
            Set.of(
                    "Tariffs",
                    "QuotaRate",
                    "MostAtOnce",
                    "OverrunCost",
                    "ExtraWorth",
                    "CapRate",
                    "CapDepth",
                    "HardSlack",
                    "Classes",
                    "OnTimeUs",
                    "HardLimitUs",
                    "LateWorth",
                    "WindowUs",
                    "ColdFrom",
                    "ColdUs",
                    "FallMultiple",
                    "FallUs",
                    "MayDuplicate",
                    "MaxAttempts",
                    "OpenCap",
                    "KeepaliveUs",
                    "ConnectTimeoutUs",
                    "CountLimitUs",
                    "UnitsTop",
                    "PostPaid",
                    "ResultMix",
                    "WorstTenant",
                    "MyNumber",
                    "NInstances",
                    "TickUs");

    @DataProvider
    public Object[][] boundaryPackages() {
        return new Object[][] {{"simulator", SIMULATOR_NAMES}, {"settings", SETTINGS_NAMES}};
    }

    @Test(dataProvider = "boundaryPackages")
    public void namesAreOnlyUsedInTheirPackage(String packageName, Set<String> names)
            throws IOException {
        List<String> found = new ArrayList<>();
        boolean usedInPackage = false;
        for (Path file : sources()) {
            boolean inPackage = file.startsWith(SOURCES.resolve(packageName));
            Matcher literal = STRING_LITERAL.matcher(Files.readString(file));
            while (literal.find()) {
                if (!names.contains(literal.group(1))) {
                    continue;
                }
                usedInPackage |= inPackage;
                if (!inPackage) {
                    found.add(file + ": " + literal.group(1));
                }
            }
        }
        assertEquals(found, List.of());
        assertTrue(usedInPackage, "none of the names is read or written in " + packageName);
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }
}
