package tinford.lab.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import tinford.lab.fleet.Processes;

/** A whole run at a small size: three voters, a replica, twenty followers. */
public class SmallPlayTest {
    private static final ControlSize SMALL = new ControlSize(3, 1, 0, 20, 2, 10, 30, 200);
    private static final double PACE_SECONDS = 0.4;
    private static final double LENGTH = 0.15;

    @Test
    public void promisesAreKeptWhileTheLeaderStandsStill() throws Exception {
        Path folder = Files.createTempDirectory("control");
        ControlOptions options =
                new ControlOptions(SMALL, Classpath.own(), 7, PACE_SECONDS, LENGTH);
        try {
            ControlResult result;
            try (ControlRun run = new ControlRun(ControlScenario.LEADER_PAUSED, options, folder)) {
                result = run.play();
            }
            assertEquals(result.broken(), List.of());
            assertTrue(result.figures().get("revisions") >= 10, result.summary());
            assertEquals(living(folder), List.of());
            System.out.println(result.summary());
        } finally {
            Processes.delete(folder);
        }
    }

    private static List<String> living(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder.resolve("processes").resolve("pids"))) {
            return all.map(Path::toString).toList();
        }
    }
}
