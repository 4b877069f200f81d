package tinford.decision;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays the scenarios of {@link ModuleTranscript} and compares them with the lines that an
 * earlier build recorded. A change that intentionally alters decisions re-records them with {@link
 * #main}.
 */
public class ModuleTranscriptTest {
    @DataProvider
    public Object[][] scenarios() {
        return Arrays.stream(ModuleTranscript.Scenario.values())
                .map(scenario -> new Object[] {scenario})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "scenarios")
    public void linesMatchRecording(ModuleTranscript.Scenario scenario) throws IOException {
        List<String> expected = recorded(scenario);
        List<String> actual = new ModuleTranscript(scenario).run();
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(actual.get(i), expected.get(i), "line " + (i + 1));
        }
        assertEquals(actual.size(), expected.size());
    }

    private static List<String> recorded(ModuleTranscript.Scenario scenario) throws IOException {
        String resource = "/module-transcripts/" + scenario.fileName();
        try (InputStream in = ModuleTranscriptTest.class.getResourceAsStream(resource);
                GZIPInputStream plain = new GZIPInputStream(in)) {
            return new String(plain.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /**
     * Records all scenarios.
     *
     * @param args path of the output folder
     */
    public static void main(String[] args) throws IOException {
        for (ModuleTranscript.Scenario scenario : ModuleTranscript.Scenario.values()) {
            Path file = Path.of(args[0], scenario.fileName());
            try (Writer out =
                    new OutputStreamWriter(
                            new GZIPOutputStream(Files.newOutputStream(file)),
                            StandardCharsets.UTF_8)) {
                for (String line : new ModuleTranscript(scenario).run()) {
                    out.write(line + "\n");
                }
            }
        }
    }
}
