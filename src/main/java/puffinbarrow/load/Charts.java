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

/** A run's charts as PNG, each in a data address so that a page is one file. */
public final class Charts {
    public static final int WIDTH = 900;
    public static final int HEIGHT = 300;
    private static final double[] SHOWN = {50, 90, 99, 100};
    /** Up to five nines: more would be a few flows of a run. */
    private static final double MOST_NINES = 1e5;
    /** Good is green, late amber, turned away blue, lost reds, never sent grey. */
    private static final Color[] OUTCOMES = {
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

    /** Title to picture, in the order of a page. */
    public static Map<String, String> all(Result result) throws IOException {
        Map<String, String> charts = new LinkedHashMap<>();
        charts.put("Flows a second, intended and ended", picture(rate(result)));
        charts.put("Outcomes by the second of the intended start", picture(outcomes(result)));
        charts.put("Latency from the intended start, by second", picture(overTime(result)));
        charts.put("Latency by percentile", picture(byPercentile(result)));
        charts.put("How late this host itself was, worst of each second", picture(host(result)));
        return charts;
    }

    /** As a data address. */
    public static String picture(Chart<?, ?> chart) throws IOException {
        return "data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    public static XYChart chart(String x, String y) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        style(chart.getStyler());
        return chart;
    }

    public static void style(Styler styler) {
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
        styler.setLegendBorderColor(Color.WHITE);
    }

    /** Steps in which flows were meant to start: the wait for the last answers is none. */
    private static List<Result.Step> steps(Result result) {
        int size = result.steps.size();
        while (size > 1 && result.steps.get(size - 1).intended == 0) {
            size--;
        }
        return result.steps.subList(0, size);
    }

    private interface Read {
        double of(Result.Step step);
    }

    private static void line(XYChart chart, String name, Result result, Read read) {
        List<Result.Step> steps = steps(result);
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            double value = read.of(steps.get(i));
            if (!Double.isNaN(value)) {
                x.add(i * (double) result.stepNs / 1e9);
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

    private static XYChart rate(Result result) {
        XYChart chart = chart("s", "flows/s");
        double perStep = result.stepNs / 1e9;
        line(chart, "intended", result, s -> s.intended / perStep);
        line(chart, "sent", result, s -> s.sent() / perStep);
        line(chart, "in budget", result, s -> s.count(Result.Outcome.IN_BUDGET) / perStep);
        chart.getStyler().setYAxisMin(0.0);
        // Beneath the others, which lie on it as long as all is well.
        chart.getSeriesMap().values().iterator().next().setLineWidth(5f);
        return chart;
    }

    private static XYChart overTime(Result result) {
        XYChart chart = chart("s", "ms");
        for (double q : SHOWN) {
            line(
                    chart,
                    q == 100 ? "max" : "p" + (int) q,
                    result,
                    s -> s.latency.getTotalCount() == 0
                            ? Double.NaN
                            : Math.max(0.01, s.latency.getValueAtPercentile(q) / 1e3));
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
        style(chart.getStyler());
        chart.getStyler().setStacked(true);
        chart.getStyler().setAvailableSpaceFill(0.95);
        List<Result.Step> steps = steps(result);
        int size = steps.size();
        // About a dozen labels, whatever the length.
        int every = Math.max(1, size / 12);
        chart.getStyler().setXAxisMaxLabelCount(Math.max(2, (size + every - 1) / every));
        List<Long> x = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            x.add(i * result.stepNs / 1_000_000_000L);
        }
        for (Result.Outcome outcome : Result.Outcome.values()) {
            if (result.all.count(outcome) > 0) {
                chart.addSeries(
                                Report.word(outcome),
                                x,
                                steps.stream().map(s -> s.count(outcome)).toList())
                        .setFillColor(OUTCOMES[outcome.ordinal()]);
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            chart.addSeries("none", x, x.stream().map(i -> 0L).toList());
        }
        return chart;
    }

    private static XYChart byPercentile(Result result) {
        XYChart chart = chart("1 / (1 - quantile): 10 is p90, 100 is p99", "ms");
        curve(chart, "from the intended start", result.all.latency);
        curve(chart, "from the sending", result.all.service);
        curve(chart, "this host: senders late", result.lag);
        curve(chart, "this host: wake-ups late", result.hiccups);
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        return chart;
    }

    private static void curve(XYChart chart, String name, Histogram of) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        // Eight points a decade, no further than there are flows to tell.
        for (double nines = 1;
                nines <= Math.min(MOST_NINES, Math.max(1, of.getTotalCount()));
                nines *= Math.pow(10, 0.125)) {
            x.add(nines);
            y.add(Math.max(0.001, of.getValueAtPercentile(100 * (1 - 1 / nines)) / 1e3));
        }
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.6f);
    }

    private static XYChart host(Result result) {
        XYChart chart = chart("s", "ms");
        line(chart, "senders", result, s -> s.lagMaxUs / 1e3);
        line(chart, "wake-ups", result, s -> s.hiccupMaxUs / 1e3);
        line(chart, "busy above", result, s -> Result.HOST_LATE_US / 1e3);
        return chart;
    }
}
