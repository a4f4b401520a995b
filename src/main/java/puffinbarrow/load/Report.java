package puffinbarrow.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A run as text and as a folder, and two folders side by side. */
public final class Report {
    private static final double[] QUANTILES = {50, 90, 99, 99.9, 100};
    /** Enough for an interval of 95% to stand to the second digit. */
    private static final int RESAMPLES = 1000;

    private Report() {}

    public static String text(Scenario scenario, Result result) {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%nintended %d, outcomes %d%s; utility in budget "
                + "%.4f; retries %d%n", result.intended, result.all.ended(), result.whole() ? "" : "  NOT EQUAL",
                result.utilityAsked == 0 ? 1 : result.utilityGot / result.utilityAsked, result.all.retries));
        row(text, "all", result.all);
        for (int i = 0; i < result.groups.length; i++) {
            row(text, scenario.groups.get(i).name(), result.groups[i]);
        }
        text.append(String.format(Locale.ROOT, "%nlatency from the intended start, ms: %s%n", quantiles(result.all.latency)));
        text.append(String.format(Locale.ROOT, "from the sending (what a closed loop would report): %s%n",
                quantiles(result.all.service)));
        text.append(String.format(Locale.ROOT, "to the first byte: %s%n", quantiles(result.all.firstByte)));
        text.append(String.format(Locale.ROOT, "this host's own: senders late %s; wake-ups late %s; GC %d ms%n",
                quantiles(result.lag), quantiles(result.hiccups), result.gcPauseMs));
        List<Integer> busy = result.hostBusy();
        if (!busy.isEmpty()) {
            text.append("THIS HOST WAS BUSY in seconds ").append(busy).append(": their tails are not the target's alone\n");
        }
        return text.toString();
    }

    private static void row(StringBuilder text, String name, Result.Part part) {
        text.append(String.format("%-16s", name));
        for (Result.Outcome outcome : Result.Outcome.values()) {
            if (part.count(outcome) > 0) {
                text.append(' ').append(outcome.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(' ')
                        .append(part.count(outcome)).append(';');
            }
        }
        text.append('\n');
    }

    private static String quantiles(Histogram of) {
        StringBuilder text = new StringBuilder();
        for (double q : QUANTILES) {
            text.append(String.format(Locale.ROOT, "p%s %.2f  ", q == Math.rint(q) ? Long.toString((long) q)
                    : Double.toString(q), of.getValueAtPercentile(q) / 1e3));
        }
        return text.toString().trim();
    }

    /** The folder: the scenario as it was, its text, CSV by second, and the histograms in their own log form. */
    public static void write(Path folder, String settings, Scenario scenario, Result result) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("scenario.conf"), settings);
        Files.writeString(folder.resolve("summary.txt"), text(scenario, result));
        StringBuilder csv = new StringBuilder("second,intended,sent,in_budget,other,p50_us,p99_us,max_us,sender_late_us,"
                + "wakeup_late_us\n");
        for (int i = 0; i < result.seconds.length; i++) {
            Result.Second s = result.seconds[i];
            csv.append(String.format(Locale.ROOT, "%d,%d,%d,%d,%d,%d,%d,%d,%d,%d%n", i, s.intended, s.sent, s.inBudget,
                    s.other, s.latency.getValueAtPercentile(50), s.latency.getValueAtPercentile(99), s.latencyMaxUs,
                    s.lagMaxUs, s.hiccupMaxUs));
        }
        Files.writeString(folder.resolve("seconds.csv"), csv);
        try (PrintStream out = new PrintStream(Files.newOutputStream(folder.resolve("latency.hgrm")), false,
                StandardCharsets.US_ASCII)) {
            result.all.latency.outputPercentileDistribution(out, 1000.0);
        }
    }

    /** Sets the seconds of two runs side by side: bootstrap intervals of the difference of their means. */
    public static String compare(Path a, Path b, long seed) throws IOException {
        Map<String, double[]> left = columns(a);
        Map<String, double[]> right = columns(b);
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(String.format("%-14s %12s %12s %26s%n", "by second", "A", "B",
                "B - A, 95% interval"));
        for (String column : List.of("in_budget", "other", "p50_us", "p99_us", "sender_late_us")) {
            double[] x = left.get(column);
            double[] y = right.get(column);
            if (x == null || y == null || x.length == 0 || y.length == 0) {
                throw new IOException("no column " + column + " in both");
            }
            double[] differences = new double[RESAMPLES];
            for (int i = 0; i < RESAMPLES; i++) {
                differences[i] = resampled(y, chance) - resampled(x, chance);
            }
            java.util.Arrays.sort(differences);
            double low = differences[(int) (RESAMPLES * 0.025)];
            double high = differences[(int) (RESAMPLES * 0.975)];
            text.append(String.format(Locale.ROOT, "%-14s %12.1f %12.1f %12.1f to %-10.1f %s%n", column, mean(x), mean(y),
                    low, high, low <= 0 && high >= 0 ? "noise" : "differs"));
        }
        return text.toString();
    }

    private static double resampled(double[] from, UniformRandomProvider chance) {
        double sum = 0;
        for (int i = 0; i < from.length; i++) {
            sum += from[chance.nextInt(from.length)];
        }
        return sum / from.length;
    }

    private static double mean(double[] of) {
        return java.util.Arrays.stream(of).average().orElse(0);
    }

    /** Whole seconds only: the last one is cut by the run's end. */
    private static Map<String, double[]> columns(Path folder) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("seconds.csv"));
        String[] names = lines.get(0).split(",");
        List<String[]> rows = new ArrayList<>();
        lines.subList(1, Math.max(1, lines.size() - 1)).forEach(l -> rows.add(l.split(",")));
        Map<String, double[]> columns = new TreeMap<>();
        for (int c = 0; c < names.length; c++) {
            int column = c;
            columns.put(names[c], rows.stream().mapToDouble(r -> Double.parseDouble(r[column])).toArray());
        }
        return columns;
    }
}
