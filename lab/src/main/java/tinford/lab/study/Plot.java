package tinford.lab.study;

import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;

/** A figure over a key of the scenario, with its intervals, as a PNG file. */
public final class Plot {
    private Plot() {}

    /** A value of the key, and the mean that came with it. */
    public record Point(double x, Study.Mean mean) {}

    /**
     * @param lines by their names, each in the order of its points
     */
    public static void write(
            Path to, String title, String key, String figure, Map<String, List<Point>> lines)
            throws IOException {
        XYIntervalSeriesCollection all = new XYIntervalSeriesCollection();
        lines.forEach(
                (name, points) -> {
                    XYIntervalSeries s = new XYIntervalSeries(name);
                    for (Point p : points) {
                        boolean one = Double.isInfinite(p.mean().least());
                        s.add(
                                p.x(),
                                p.x(),
                                p.x(),
                                p.mean().mean(),
                                one ? p.mean().mean() : p.mean().least(),
                                one ? p.mean().mean() : p.mean().most());
                    }
                    all.addSeries(s);
                });
        XYErrorRenderer renderer = new XYErrorRenderer();
        renderer.setDefaultLinesVisible(true);
        renderer.setDrawXError(false);
        NumberAxis across = new NumberAxis(key);
        NumberAxis up = new NumberAxis(figure);
        across.setAutoRangeIncludesZero(false);
        up.setAutoRangeIncludesZero(false);
        XYPlot plot = new XYPlot(all, across, up, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        JFreeChart chart =
                new JFreeChart(title, JFreeChart.DEFAULT_TITLE_FONT, plot, lines.size() > 1);
        chart.setBackgroundPaint(Color.WHITE);
        File part = to.resolveSibling(to.getFileName() + ".part").toFile();
        ChartUtils.saveChartAsPNG(part, chart, 900, 560);
        java.nio.file.Files.move(
                part.toPath(), to, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
}
