package tinford.simulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.GZIPInputStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.decision.DecisionEngine;

/**
 * Replays transcripts that {@link TranscriptRecorder} recorded with an earlier build. Decisions are
 * deterministic, so a change that preserves behaviour gives the same replies, byte for byte.
 */
public class GoldenTranscriptTest {
    private static final String INPUT = ".input.jsonl.gz";
    private static final String REPLY = ".reply.jsonl.gz";

    @DataProvider
    public Object[][] transcripts() throws IOException, URISyntaxException {
        Path folder = Path.of(GoldenTranscriptTest.class.getResource("/transcripts").toURI());
        try (Stream<Path> files = Files.list(folder)) {
            List<String> names =
                    files.map(file -> file.getFileName().toString())
                            .filter(name -> name.endsWith(INPUT))
                            .map(name -> name.substring(0, name.length() - INPUT.length()))
                            .sorted()
                            .toList();
            assertFalse(names.isEmpty());
            return names.stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "transcripts")
    public void repliesMatchRecording(String name) throws IOException {
        ByteArrayOutputStream reply = new ByteArrayOutputStream();
        int exitCode =
                SimulatorSession.serve(
                        new ByteArrayInputStream(resource(name + INPUT)),
                        reply,
                        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
                        DecisionEngine::new);
        assertEquals(exitCode, 0);
        List<String> expected = lines(resource(name + REPLY));
        List<String> actual = lines(reply.toByteArray());
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(actual.get(i), expected.get(i), "line " + (i + 1));
        }
        assertEquals(actual.size(), expected.size());
    }

    private static List<String> lines(byte[] text) {
        return new String(text, StandardCharsets.UTF_8).lines().toList();
    }

    private static byte[] resource(String name) throws IOException {
        try (InputStream in =
                        GoldenTranscriptTest.class.getResourceAsStream("/transcripts/" + name);
                GZIPInputStream plain = new GZIPInputStream(in)) {
            return plain.readAllBytes();
        }
    }
}
