package puffinbarrow.emulator;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;
import puffinbarrow.load.Charts;
import puffinbarrow.load.Html;

/** Writes the results of an experiment as text and as one HTML file with charts; called by the command line. */
public final class Report {
    /** Colours that can be distinguished on white, also without seeing the difference between red and green. */
    private static final Color[] COLOURS = {
        new Color(0x00, 0x72, 0xb2),
        new Color(0xd5, 0x5e, 0x00),
        new Color(0x00, 0x9e, 0x73),
        new Color(0xcc, 0x79, 0xa7),
        new Color(0xe6, 0x9f, 0x00),
        new Color(0x56, 0xb4, 0xe9)
    };

    private final ResultTable results;
    private final Set<String> policies;

    /** Creates a report on a table of results. */
    public Report(ResultTable results) {
        this.results = results;
        this.policies = results.values("policy");
    }

    private static Predicate<ResultTable.Row> hasValue(String column, String value) {
        return r -> r.get(column).equals(value);
    }

    /** Returns a mean with its interval as text. */
    private static String formatMean(ResultTable.Mean mean) {
        return mean.runs() == 0
                ? "-"
                : String.format(Locale.ROOT, "%.4f (%.4f to %.4f)", mean.mean(), mean.low(), mean.high());
    }

    /**
     * Returns a row for each combination of levels and each policy: service, worst window, p99, moves, runs that
     * broke a rule, failed runs, and the paired difference of the first policy to this one.
     */
    public List<List<String>> table() {
        List<List<String>> rows = new ArrayList<>();
        for (String levels : levelCombinations()) {
            for (String policy : policies) {
                List<ResultTable.Row> runs = results.select(
                        r -> levelsOf(r).equals(levels) && r.get("policy").equals(policy));
                long runCount = results.rows.stream()
                        .filter(r ->
                                levelsOf(r).equals(levels) && r.get("policy").equals(policy))
                        .count();
                long brokenRuns =
                        runs.stream().filter(r -> !r.get("broken").isEmpty()).count();
                String firstPolicy = policies.iterator().next();
                rows.add(List.of(
                        levels,
                        policy,
                        formatMean(ResultTable.mean(runs, "service")),
                        formatMean(ResultTable.mean(runs, "worst")),
                        mean(runs, "p99_ms"),
                        mean(runs, "moves"),
                        brokenRuns + " of " + runs.size(),
                        Long.toString(runCount - runs.size()),
                        policy.equals(firstPolicy)
                                ? ""
                                : formatMean(results.pairedDifference(firstPolicy, policy, "service", r -> levelsOf(r)
                                        .equals(levels)))));
            }
        }
        return rows;
    }

    private static String mean(List<ResultTable.Row> rows, String column) {
        return rows.isEmpty()
                ? "-"
                : String.format(
                        Locale.ROOT,
                        "%.0f",
                        rows.stream()
                                .mapToDouble(r -> r.number(column))
                                .average()
                                .orElse(0));
    }

    /** Returns the combination of levels of a row as text. */
    private String levelsOf(ResultTable.Row row) {
        return results.factors.isEmpty()
                ? "all"
                : String.join(
                        " ",
                        results.factors.stream().map(f -> f + "=" + row.get(f)).toList());
    }

    private Set<String> levelCombinations() {
        Set<String> combinations = new LinkedHashSet<>();
        results.rows.forEach(r -> combinations.add(levelsOf(r)));
        return combinations;
    }

    /** Returns the headings of {@link #table}. */
    public List<String> columns() {
        return List.of(
                "levels",
                "policy",
                "service (95%)",
                "worst 10 s (95%)",
                "p99 ms",
                "moves",
                "a rule broke",
                "failed",
                policies.iterator().next() + " less this one, paired");
    }

    /**
     * Returns a line for each broken rule by combination of levels and policy, with the seeds that break it; likewise
     * for failed runs with their cause.
     */
    public List<String> ruleBreaks() {
        Map<String, List<String>> seeds = new TreeMap<>();
        for (ResultTable.Row row : results.rows) {
            for (String rule : row.list("broken")) {
                seeds.computeIfAbsent(rule + ": " + levelsOf(row) + ", " + row.get("policy"), k -> new ArrayList<>())
                        .add(row.get("seed"));
            }
            if (row.failed()) {
                seeds.computeIfAbsent(
                                "FAILED " + row.get("failed") + ": " + levelsOf(row) + ", " + row.get("policy"),
                                k -> new ArrayList<>())
                        .add(row.get("seed"));
            }
        }
        List<String> lines = new ArrayList<>();
        seeds.forEach((problem, failing) -> lines.add(problem + ": " + failing.size()
                + (failing.size() == 1 ? " run, seed " : " runs, seeds ")
                + String.join(" ", failing.subList(0, Math.min(20, failing.size())))
                + (failing.size() > 20 ? " ..." : "")));
        return lines;
    }

    /** Returns the table and the broken rules as text. */
    public String text() {
        List<List<String>> rows = new ArrayList<>(table());
        rows.add(0, columns());
        int[] widths = new int[columns().size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(String.format("%-" + (widths[i] + 2) + "s", row.get(i)));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        List<String> broken = ruleBreaks();
        text.append(broken.isEmpty() ? "no rule broke\n" : "rules broken\n");
        broken.forEach(l -> text.append("  ").append(l).append('\n'));
        return text.toString();
    }

    /** Writes the HTML file. */
    public void html(Path file, String title) throws IOException {
        Map<String, Object> model = new LinkedHashMap<>();
        model.put("title", title);
        model.put("columns", columns());
        model.put("rows", table());
        model.put("broken", ruleBreaks());
        Map<String, String> charts = new LinkedHashMap<>();
        for (String factor : results.factors) {
            if (results.values(factor).size() > 1) {
                charts.put(
                        "Service by " + factor + ", with intervals of 95%",
                        Charts.pngDataUri(chartByFactor(factor, "service")));
                charts.put("p99 of latency by " + factor, Charts.pngDataUri(chartByFactor(factor, "p99_ms")));
            }
        }
        Set<String> faults = new LinkedHashSet<>();
        results.rows.forEach(r -> faults.addAll(r.list("troubles")));
        if (!faults.isEmpty()) {
            charts.put("Service on days with each trouble", Charts.pngDataUri(chartByFault(faults)));
        }
        if (policies.size() > 1) {
            charts.put("Service of each day, sorted for each policy", Charts.pngDataUri(chartSortedDays()));
        }
        model.put("charts", charts);
        Html.write(file, "experiment.ftlh", model);
    }

    /** Returns a chart of a measure over the levels of a factor, with a line for each policy. */
    private XYChart chartByFactor(String factor, String measure) {
        XYChart chart = Charts.lineChart(factor, measure);
        List<String> levels = new ArrayList<>(results.values(factor));
        boolean numeric = levels.stream().allMatch(l -> l.matches("[0-9.]+"));
        int colour = 0;
        for (String policy : policies) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            List<Double> error = new ArrayList<>();
            for (int i = 0; i < levels.size(); i++) {
                ResultTable.Mean mean = ResultTable.mean(
                        results.select(hasValue(factor, levels.get(i)).and(hasValue("policy", policy))), measure);
                if (mean.runs() > 0) {
                    x.add(numeric ? Double.parseDouble(levels.get(i)) : i);
                    y.add(mean.mean());
                    error.add((mean.high() - mean.low()) / 2);
                }
            }
            if (!x.isEmpty()) {
                XYSeries series = chart.addSeries(policy, x, y, error);
                series.setLineColor(COLOURS[colour % COLOURS.length]);
                series.setMarkerColor(COLOURS[colour % COLOURS.length]);
            }
            colour++;
        }
        if (numeric
                && levels.stream().mapToDouble(Double::parseDouble).max().orElse(1)
                        > 20
                                * levels.stream()
                                        .mapToDouble(Double::parseDouble)
                                        .min()
                                        .orElse(1)) {
            chart.getStyler().setXAxisLogarithmic(true);
        } else if (!numeric) {
            Map<Object, Object> names = new LinkedHashMap<>();
            for (int i = 0; i < levels.size(); i++) {
                names.put((double) i, levels.get(i));
            }
            chart.setCustomXAxisTickLabelsFormatter(v -> (String) names.getOrDefault(v, ""));
        }
        return chart;
    }

    /** Returns a bar chart of the mean service on days with each named fault. */
    private CategoryChart chartByFault(Set<String> faults) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(Charts.WIDTH)
                .height(Charts.HEIGHT)
                .yAxisTitle("service")
                .build();
        Charts.applyStyle(chart.getStyler());
        List<String> names = new ArrayList<>(faults);
        // Horizontal labels would overlap with a dozen names.
        chart.getStyler().setXAxisLabelRotation(45);
        double lowest = 1;
        int colour = 0;
        for (String policy : policies) {
            List<Double> y = new ArrayList<>();
            for (String fault : names) {
                double mean = ResultTable.mean(
                                results.select(hasValue("policy", policy)
                                        .and(r -> r.list("troubles").contains(fault))),
                                "service")
                        .mean();
                y.add(Double.isNaN(mean) ? 0 : mean);
                lowest = Double.isNaN(mean) ? lowest : Math.min(lowest, mean);
            }
            chart.addSeries(policy, names, y).setFillColor(COLOURS[colour++ % COLOURS.length]);
        }
        // Bars that start at zero and differ in the second digit look alike, so the axis starts just below the
        // lowest; its labels show where.
        chart.getStyler().setYAxisMin(Math.floor(lowest * 20 - 1) / 20);
        chart.getStyler().setYAxisMax(1.0);
        return chart;
    }

    /** Returns a chart of the service of all days, sorted, with a line for each policy. */
    private XYChart chartSortedDays() {
        XYChart chart = Charts.lineChart("share of days", "service");
        int colour = 0;
        for (String policy : policies) {
            double[] services = results.select(hasValue("policy", policy)).stream()
                    .mapToDouble(r -> r.number("service"))
                    .sorted()
                    .toArray();
            if (services.length > 0) {
                double[] x = new double[services.length];
                for (int i = 0; i < x.length; i++) {
                    x[i] = (i + 0.5) / x.length;
                }
                XYSeries series = chart.addSeries(policy, x, services);
                series.setMarker(SeriesMarkers.NONE);
                series.setLineColor(COLOURS[colour % COLOURS.length]);
            }
            colour++;
        }
        return chart;
    }
}
