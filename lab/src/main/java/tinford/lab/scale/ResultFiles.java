package tinford.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import tinford.lab.study.Study;

/** Writes a result as two CSV files (all values; means with intervals) and one plot. */
final class ResultFiles {
    private final Path folder;

    ResultFiles(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    void write(ScaleResult result) throws IOException {
        replace(result.name() + ".csv", values(result));
        replace(result.name() + ".summary.csv", summary(result));
        ScalePlot.write(folder.resolve(result.name() + ".png"), result);
    }

    private static String values(ScaleResult result) {
        StringBuilder text = new StringBuilder("size,repetition,column,value\n");
        for (ScaleResult.Point point : result.points()) {
            appendValues(text, point, point.sample().counted());
            appendValues(text, point, point.sample().timed());
        }
        return text.toString();
    }

    private static void appendValues(
            StringBuilder text, ScaleResult.Point point, Map<String, Double> columns) {
        columns.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        column ->
                                text.append(point.size())
                                        .append(',')
                                        .append(point.repetition())
                                        .append(',')
                                        .append(column.getKey())
                                        .append(',')
                                        .append(column.getValue())
                                        .append('\n'));
    }

    private static String summary(ScaleResult result) {
        StringBuilder text = new StringBuilder("size,column,kind,mean,low,high,samples\n");
        for (ScaleResult.Column column : result.columns()) {
            for (int i = 0; i < result.sizes().length; i++) {
                Study.Mean mean = column.means().get(i);
                text.append(result.sizes()[i])
                        .append(',')
                        .append(column.name())
                        .append(',')
                        .append(column.counted() ? "counted" : "timed")
                        .append(',')
                        .append(mean.mean())
                        .append(',')
                        .append(mean.least())
                        .append(',')
                        .append(mean.most())
                        .append(',')
                        .append(mean.n())
                        .append('\n');
            }
        }
        return text.toString();
    }

    /** Written beside and moved, so that a file that stands there is whole. */
    private void replace(String name, String text) throws IOException {
        Path part = folder.resolve(name + ".part");
        Files.writeString(part, text);
        Files.move(part, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
    }
}
