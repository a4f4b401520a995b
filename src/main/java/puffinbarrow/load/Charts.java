package puffinbarrow.load;

import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Draws a run's charts as PNG images in data URIs, so that a page is one file. Used by Html and by the emulator's
 * report.
 */
public final class Charts {
    public static final int WIDTH = 900;
    public static final int HEIGHT = 300;
    /** Percentiles that the chart over time shows. */
    private static final double[] PERCENTILES = {50, 90, 99, 100};
    /** Right end of the percentile axis, as 1 / (1 - quantile): p99.999. More would show a few flows of a run. */
    private static final double MAX_INVERSE_TAIL = 1e5;
    /** Colours by the ordinal of the outcome: in budget green, late amber, blocked blue, lost reds, never sent grey. */
    private static final Color[] OUTCOME_COLORS = {
        new Color(0x4c, 0x9f, 0x70),
        new Color(0xe0, 0xb1, 0x3c),
        new Color(0x4f, 0x81, 0xbd),
        new Color(0xc0, 0x39, 0x2b),
        new Color(0x8e, 0x2f, 0x5c),
        new Color(0xd9, 0x7c, 0x5e),
        new Color(0xa9, 0x50, 0x3f),
        new Color(0x6b, 0x2a, 0x1e),
        new Color(0x99, 0x99, 0x99)
    };

    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Charts() {}

    /** Returns the charts of a run as data URIs by title, in the order of the page. */
    public static Map<String, String> all(Result result) throws IOException {
        Map<String, String> charts = new LinkedHashMap<>();
        charts.put("Flows a second, intended and ended", pngDataUri(rates(result)));
        charts.put("Outcomes by the second of the intended start", pngDataUri(outcomes(result)));
        charts.put("Latency from the intended start, by second", pngDataUri(overTime(result)));
        charts.put("Latency by percentile", pngDataUri(byPercentile(result)));
        charts.put("How late this host itself was, worst of each second", pngDataUri(hostLateness(result)));
        return charts;
    }

    /** Returns a chart as a PNG image in a data URI. */
    public static String pngDataUri(Chart<?, ?> chart) throws IOException {
        return "data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    /** Creates an empty line chart with the given axis titles in the common style. */
    public static XYChart lineChart(String xTitle, String yTitle) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
        applyStyle(chart.getStyler());
        return chart;
    }

    /** Sets the style that all charts share. */
    public static void applyStyle(Styler styler) {
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
        styler.setLegendBorderColor(Color.WHITE);
    }

    /**
     * Returns the intervals in which flows were meant to start, without those that only waited for the last answers.
     */
    private static List<Result.Interval> intervals(Result result) {
        int size = result.intervals.size();
        while (size > 1 && result.intervals.get(size - 1).intended == 0) {
            size--;
        }
        return result.intervals.subList(0, size);
    }

    /** Reads the value of an interval that a line shows. */
    private interface IntervalValue {
        double of(Result.Interval interval);
    }

    /** Adds a line with a value per interval; leaves out NaN. */
    private static void line(XYChart chart, String name, Result result, IntervalValue valueOf) {
        List<Result.Interval> intervals = intervals(result);
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (int i = 0; i < intervals.size(); i++) {
            double value = valueOf.of(intervals.get(i));
            if (!Double.isNaN(value)) {
                x.add(i * (double) result.intervalNs / 1e9);
                y.add(value);
            }
        }
        if (x.isEmpty()) {
            return;
        }
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.6f);
    }

    private static XYChart rates(Result result) {
        XYChart chart = lineChart("s", "flows/s");
        double intervalS = result.intervalNs / 1e9;
        line(chart, "intended", result, interval -> interval.intended / intervalS);
        line(chart, "sent", result, interval -> interval.sent() / intervalS);
        line(chart, "in budget", result, interval -> interval.count(Result.Outcome.IN_BUDGET) / intervalS);
        chart.getStyler().setYAxisMin(0.0);
        // The intended rate is drawn thick and first, so that it shows beneath the other lines while they are equal.
        chart.getSeriesMap().values().iterator().next().setLineWidth(5f);
        return chart;
    }

    private static XYChart overTime(Result result) {
        XYChart chart = lineChart("s", "ms");
        for (double percentile : PERCENTILES) {
            line(
                    chart,
                    percentile == 100 ? "max" : "p" + (int) percentile,
                    result,
                    interval -> interval.latency.getTotalCount() == 0
                            ? Double.NaN
                            : Math.max(0.01, interval.latency.getValueAtPercentile(percentile) / 1e3));
        }
        chart.getStyler().setYAxisLogarithmic(true);
        return chart;
    }

    private static CategoryChart outcomes(Result result) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle("s")
                .yAxisTitle("flows")
                .build();
        applyStyle(chart.getStyler());
        chart.getStyler().setStacked(true);
        chart.getStyler().setAvailableSpaceFill(0.95);
        List<Result.Interval> intervals = intervals(result);
        int size = intervals.size();
        // About a dozen labels, whatever the run's length.
        int intervalsPerLabel = Math.max(1, size / 12);
        chart.getStyler().setXAxisMaxLabelCount(Math.max(2, (size + intervalsPerLabel - 1) / intervalsPerLabel));
        List<Long> x = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            x.add(i * result.intervalNs / 1_000_000_000L);
        }
        for (Result.Outcome outcome : Result.Outcome.values()) {
            if (result.all.count(outcome) > 0) {
                chart.addSeries(
                                Report.readableName(outcome),
                                x,
                                intervals.stream()
                                        .map(interval -> interval.count(outcome))
                                        .toList())
                        .setFillColor(OUTCOME_COLORS[outcome.ordinal()]);
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            chart.addSeries("none", x, x.stream().map(i -> 0L).toList());
        }
        return chart;
    }

    private static XYChart byPercentile(Result result) {
        XYChart chart = lineChart("1 / (1 - quantile): 10 is p90, 100 is p99", "ms");
        curve(chart, "from the intended start", result.all.latency);
        curve(chart, "from the sending", result.all.service);
        curve(chart, "this host: senders late", result.sendLag);
        curve(chart, "this host: wake-ups late", result.wakeUpLateness);
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        return chart;
    }

    /** Adds the latencies of a histogram by percentile. */
    private static void curve(XYChart chart, String name, Histogram histogram) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        // Eight points per decade, no further than the number of flows can resolve.
        for (double inverseTail = 1;
                inverseTail <= Math.min(MAX_INVERSE_TAIL, Math.max(1, histogram.getTotalCount()));
                inverseTail *= Math.pow(10, 0.125)) {
            x.add(inverseTail);
            y.add(Math.max(0.001, histogram.getValueAtPercentile(100 * (1 - 1 / inverseTail)) / 1e3));
        }
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.6f);
    }

    private static XYChart hostLateness(Result result) {
        XYChart chart = lineChart("s", "ms");
        line(chart, "senders", result, interval -> interval.lagMaxUs / 1e3);
        line(chart, "wake-ups", result, interval -> interval.hiccupMaxUs / 1e3);
        line(chart, "busy above", result, interval -> Result.HOST_BUSY_ABOVE_US / 1e3);
        return chart;
    }
}
