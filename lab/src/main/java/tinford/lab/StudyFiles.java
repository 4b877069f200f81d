package tinford.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinford.lab.model.RunResult;
import tinford.lab.study.Study;

/** Writes the runs of a study, by version, to files for other tools. */
final class StudyFiles {
    private static final String PART_SUFFIX = ".part";

    private StudyFiles() {}

    /** One line a run. */
    static void writeCsv(Path to, Map<String, List<RunResult>> versions) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, List<RunResult>> version : versions.entrySet()) {
            for (RunResult outcome : version.getValue()) {
                if (text.isEmpty()) {
                    text.append("version,seed,")
                            .append(String.join(",", outcome.figures().keySet()))
                            .append('\n');
                }
                text.append(version.getKey()).append(',').append(outcome.seed);
                outcome.figures().values().forEach(value -> text.append(',').append(value));
                text.append('\n');
            }
        }
        write(to, text.toString());
    }

    /**
     * The runs with their means.
     *
     * @param level of the intervals
     */
    static void writeJson(Path to, Map<String, List<RunResult>> versions, double level)
            throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        for (Map.Entry<String, List<RunResult>> version : versions.entrySet()) {
            List<RunResult> outcomes = version.getValue();
            List<Map<String, Object>> runs = outcomes.stream().map(StudyFiles::run).toList();
            all.put(version.getKey(), Map.of("means", Study.means(outcomes, level), "runs", runs));
        }
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        write(to, mapper.writeValueAsString(all));
    }

    private static Map<String, Object> run(RunResult outcome) {
        return Map.of(
                "seed", outcome.seed, "figures", outcome.figures(), "broken", outcome.broken());
    }

    /** Written beside and moved, so that what stands there is whole. */
    private static void write(Path to, String text) throws IOException {
        Path part = to.resolveSibling(to.getFileName() + PART_SUFFIX);
        Files.writeString(part, text);
        Files.move(part, to, StandardCopyOption.REPLACE_EXISTING);
    }
}
