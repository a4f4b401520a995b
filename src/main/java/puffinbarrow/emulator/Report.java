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
import puffinbarrow.load.Charts;
import puffinbarrow.load.Html;

/** An experiment as text and as one HTML file with charts. */
public final class Report {
    /** Told apart on white, and by those who do not see red from green. */
    private static final Color[] COLOURS = {
        new Color(0x00, 0x72, 0xb2),
        new Color(0xd5, 0x5e, 0x00),
        new Color(0x00, 0x9e, 0x73),
        new Color(0xcc, 0x79, 0xa7),
        new Color(0xe6, 0x9f, 0x00),
        new Color(0x56, 0xb4, 0xe9)
    };

    private final Sheet sheet;
    private final Set<String> policies;

    public Report(Sheet sheet) {
        this.sheet = sheet;
        this.policies = sheet.values("policy");
    }

    private static Predicate<Sheet.Row> at(String column, String value) {
        return r -> r.get(column).equals(value);
    }

    private static String told(Sheet.Mean m) {
        return m.runs() == 0 ? "-" : String.format(Locale.ROOT, "%.4f (%.4f to %.4f)", m.mean(), m.low(), m.high());
    }

    /** By cell of levels: each policy's service, worst window, rules broken, and the module against the others. */
    public List<List<String>> table() {
        List<List<String>> rows = new ArrayList<>();
        for (String cell : cells()) {
            for (String policy : policies) {
                List<Sheet.Row> own =
                        sheet.where(r -> cell(r).equals(cell) && r.get("policy").equals(policy));
                long all = sheet.rows.stream()
                        .filter(r -> cell(r).equals(cell) && r.get("policy").equals(policy))
                        .count();
                long broken =
                        own.stream().filter(r -> !r.get("broken").isEmpty()).count();
                String first = policies.iterator().next();
                rows.add(List.of(
                        cell,
                        policy,
                        told(Sheet.mean(own, "service")),
                        told(Sheet.mean(own, "worst")),
                        mean(own, "p99_ms"),
                        mean(own, "moves"),
                        broken + " of " + own.size(),
                        Long.toString(all - own.size()),
                        policy.equals(first)
                                ? ""
                                : told(sheet.paired(first, policy, "service", r -> cell(r).equals(cell)))));
            }
        }
        return rows;
    }

    private static String mean(List<Sheet.Row> of, String column) {
        return of.isEmpty()
                ? "-"
                : String.format(
                        Locale.ROOT,
                        "%.0f",
                        of.stream().mapToDouble(r -> r.number(column)).average().orElse(0));
    }

    private String cell(Sheet.Row row) {
        return sheet.factors.isEmpty()
                ? "all"
                : String.join(
                        " ",
                        sheet.factors.stream().map(f -> f + "=" + row.get(f)).toList());
    }

    private Set<String> cells() {
        Set<String> cells = new LinkedHashSet<>();
        sheet.rows.forEach(r -> cells.add(cell(r)));
        return cells;
    }

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

    /** Each rule that broke, by cell and policy, with the seeds that break it; failed runs with their cause. */
    public List<String> broken() {
        Map<String, List<String>> seeds = new TreeMap<>();
        for (Sheet.Row row : sheet.rows) {
            for (String rule : row.named("broken")) {
                seeds.computeIfAbsent(rule + ": " + cell(row) + ", " + row.get("policy"), k -> new ArrayList<>())
                        .add(row.get("seed"));
            }
            if (row.failed()) {
                seeds.computeIfAbsent(
                                "FAILED " + row.get("failed") + ": " + cell(row) + ", " + row.get("policy"),
                                k -> new ArrayList<>())
                        .add(row.get("seed"));
            }
        }
        List<String> lines = new ArrayList<>();
        seeds.forEach((what, own) -> lines.add(what + ": " + own.size()
                + (own.size() == 1 ? " run, seed " : " runs, seeds ")
                + String.join(" ", own.subList(0, Math.min(20, own.size()))) + (own.size() > 20 ? " ..." : "")));
        return lines;
    }

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
        List<String> broken = broken();
        text.append(broken.isEmpty() ? "no rule broke\n" : "rules broken\n");
        broken.forEach(l -> text.append("  ").append(l).append('\n'));
        return text.toString();
    }

    public void html(Path file, String title) throws IOException {
        Map<String, Object> model = new LinkedHashMap<>();
        model.put("title", title);
        model.put("columns", columns());
        model.put("rows", table());
        model.put("broken", broken());
        Map<String, String> charts = new LinkedHashMap<>();
        for (String factor : sheet.factors) {
            if (sheet.values(factor).size() > 1) {
                charts.put(
                        "Service by " + factor + ", with intervals of 95%", Charts.picture(against(factor, "service")));
                charts.put("p99 of latency by " + factor, Charts.picture(against(factor, "p99_ms")));
            }
        }
        Set<String> troubles = new LinkedHashSet<>();
        sheet.rows.forEach(r -> troubles.addAll(r.named("troubles")));
        if (!troubles.isEmpty()) {
            charts.put("Service on days with each trouble", Charts.picture(byTrouble(troubles)));
        }
        if (policies.size() > 1) {
            charts.put("Service of each day, sorted for each policy", Charts.picture(sorted()));
        }
        model.put("charts", charts);
        Html.write(file, "experiment.ftlh", model);
    }

    private XYChart against(String factor, String measure) {
        XYChart chart = Charts.chart(factor, measure);
        List<String> levels = new ArrayList<>(sheet.values(factor));
        boolean numbers = levels.stream().allMatch(l -> l.matches("[0-9.]+"));
        int colour = 0;
        for (String policy : policies) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            List<Double> error = new ArrayList<>();
            for (int i = 0; i < levels.size(); i++) {
                Sheet.Mean mean =
                        Sheet.mean(sheet.where(at(factor, levels.get(i)).and(at("policy", policy))), measure);
                if (mean.runs() > 0) {
                    x.add(numbers ? Double.parseDouble(levels.get(i)) : i);
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
        if (numbers
                && levels.stream().mapToDouble(Double::parseDouble).max().orElse(1)
                        > 20
                                * levels.stream()
                                        .mapToDouble(Double::parseDouble)
                                        .min()
                                        .orElse(1)) {
            chart.getStyler().setXAxisLogarithmic(true);
        } else if (!numbers) {
            Map<Object, Object> names = new LinkedHashMap<>();
            for (int i = 0; i < levels.size(); i++) {
                names.put((double) i, levels.get(i));
            }
            chart.setCustomXAxisTickLabelsFormatter(v -> (String) names.getOrDefault(v, ""));
        }
        return chart;
    }

    private CategoryChart byTrouble(Set<String> troubles) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(Charts.WIDTH)
                .height(Charts.HEIGHT)
                .yAxisTitle("service")
                .build();
        Charts.style(chart.getStyler());
        List<String> names = new ArrayList<>(troubles);
        // A dozen names side by side would run into each other.
        chart.getStyler().setXAxisLabelRotation(45);
        double least = 1;
        int colour = 0;
        for (String policy : policies) {
            List<Double> y = new ArrayList<>();
            for (String trouble : names) {
                double mean = Sheet.mean(
                                sheet.where(at("policy", policy)
                                        .and(r -> r.named("troubles").contains(trouble))),
                                "service")
                        .mean();
                y.add(Double.isNaN(mean) ? 0 : mean);
                least = Double.isNaN(mean) ? least : Math.min(least, mean);
            }
            chart.addSeries(policy, names, y).setFillColor(COLOURS[colour++ % COLOURS.length]);
        }
        // Bars that differ in the second digit are all alike from zero on; the axis says where it begins.
        chart.getStyler().setYAxisMin(Math.floor(least * 20 - 1) / 20);
        chart.getStyler().setYAxisMax(1.0);
        return chart;
    }

    private XYChart sorted() {
        XYChart chart = Charts.chart("share of days", "service");
        int colour = 0;
        for (String policy : policies) {
            double[] all = sheet.where(at("policy", policy)).stream()
                    .mapToDouble(r -> r.number("service"))
                    .sorted()
                    .toArray();
            if (all.length > 0) {
                double[] x = new double[all.length];
                for (int i = 0; i < x.length; i++) {
                    x[i] = (i + 0.5) / x.length;
                }
                XYSeries series = chart.addSeries(policy, x, all);
                series.setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
                series.setLineColor(COLOURS[colour % COLOURS.length]);
            }
            colour++;
        }
        return chart;
    }
}
