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
 * The plays of {@link ModuleTranscript} give the lines that an earlier build gave. A change that is
 * meant to alter decisions records them anew with {@link #main}.
 */
public class ModuleTranscriptTest {
    @DataProvider
    public Object[][] plays() {
        return Arrays.stream(ModuleTranscript.Play.values())
                .map(play -> new Object[] {play})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "plays")
    public void linesAsRecorded(ModuleTranscript.Play play) throws IOException {
        List<String> expected = recorded(play);
        List<String> actual = new ModuleTranscript(play).play();
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(actual.get(i), expected.get(i), "line " + (i + 1));
        }
        assertEquals(actual.size(), expected.size());
    }

    private static List<String> recorded(ModuleTranscript.Play play) throws IOException {
        String resource = "/module-transcripts/" + play.fileName();
        try (InputStream in = ModuleTranscriptTest.class.getResourceAsStream(resource);
                GZIPInputStream plain = new GZIPInputStream(in)) {
            return new String(plain.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /**
     * Records all plays.
     *
     * @param args the folder to write to
     */
    public static void main(String[] args) throws IOException {
        for (ModuleTranscript.Play play : ModuleTranscript.Play.values()) {
            Path file = Path.of(args[0], play.fileName());
            try (Writer out =
                    new OutputStreamWriter(
                            new GZIPOutputStream(Files.newOutputStream(file)),
                            StandardCharsets.UTF_8)) {
                for (String line : new ModuleTranscript(play).play()) {
                    out.write(line + "\n");
                }
            }
        }
    }
}
