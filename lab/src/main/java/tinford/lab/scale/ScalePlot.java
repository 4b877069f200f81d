package tinford.lab.scale;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;
import tinford.lab.study.Study;

/** All columns of a result over the size, both axes logarithmic, with their intervals. */
final class ScalePlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 560;

    private ScalePlot() {}

    static void write(Path file, ScaleResult result) throws IOException {
        XYErrorRenderer renderer = new XYErrorRenderer();
        renderer.setDefaultLinesVisible(true);
        renderer.setDrawXError(false);
        ValueAxis sizeAxis = logarithmic(result.sizeUnit());
        ValueAxis valueAxis = logarithmic("value");
        XYPlot plot = new XYPlot(series(result), sizeAxis, valueAxis, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        JFreeChart chart = new JFreeChart(result.name(), JFreeChart.DEFAULT_TITLE_FONT, plot, true);
        chart.setBackgroundPaint(Color.WHITE);
        Path part = file.resolveSibling(file.getFileName() + ".part");
        ChartUtils.saveChartAsPNG(part.toFile(), chart, WIDTH, HEIGHT);
        Files.move(part, file, StandardCopyOption.REPLACE_EXISTING);
    }

    private static ValueAxis logarithmic(String label) {
        LogAxis axis = new LogAxis(label);
        axis.setNumberFormatOverride(new java.text.DecimalFormat("0.###E0"));
        return axis;
    }

    private static XYIntervalSeriesCollection series(ScaleResult result) {
        XYIntervalSeriesCollection all = new XYIntervalSeriesCollection();
        for (ScaleResult.Column column : result.columns()) {
            all.addSeries(series(result.sizes(), column));
        }
        return all;
    }

    /** A logarithmic axis has no place for values that are not above nought. */
    private static XYIntervalSeries series(int[] sizes, ScaleResult.Column column) {
        XYIntervalSeries series =
                new XYIntervalSeries(column.name() + " (" + column.growth() + ")");
        List<Study.Mean> means = column.means();
        for (int i = 0; i < sizes.length; i++) {
            Study.Mean mean = means.get(i);
            if (mean.mean() > 0) {
                double low = mean.least() > 0 ? mean.least() : mean.mean();
                double high = Double.isInfinite(mean.most()) ? mean.mean() : mean.most();
                series.add(sizes[i], sizes[i], sizes[i], mean.mean(), low, high);
            }
        }
        return series;
    }
}
