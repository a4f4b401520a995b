package puffinbarrow.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The results of an experiment as a table read from results.csv, with means and confidence intervals over its runs.
 */
public final class ResultTable {
    /** The row of one run: its cells by column. */
    public record Row(Map<String, String> cells) {
        /** Returns the text of a cell. */
        public String get(String column) {
            return cells.get(column);
        }

        /** Returns the number in a cell. */
        public double number(String column) {
            return Double.parseDouble(cells.get(column));
        }

        /** Returns whether the run failed; its measures are of no use then. */
        public boolean failed() {
            return !get("failed").isEmpty();
        }

        /** Returns the parts of a cell that are joined by plus signs. */
        List<String> list(String column) {
            return get(column).isEmpty() ? List.of() : Arrays.asList(get(column).split("\\+"));
        }
    }

    /** A mean with its 95% confidence interval over runs; NaN if there are none. */
    public record Mean(double mean, double low, double high, int runs) {}

    /** Resamples of the bootstrap; enough for the interval to be stable to the second digit. */
    private static final int RESAMPLES = 2000;

    public final List<Row> rows = new ArrayList<>();
    /** Columns of factors: all before the policy. */
    public final List<String> factors = new ArrayList<>();

    /** Reads a results.csv. */
    public static ResultTable read(Path results) throws IOException {
        ResultTable table = new ResultTable();
        try (CSVParser in = CSVParser.parse(
                results,
                StandardCharsets.UTF_8,
                CSVFormat.DEFAULT
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .build())) {
            in.getHeaderNames().stream().takeWhile(n -> !n.equals("policy")).forEach(table.factors::add);
            in.forEach(record -> table.rows.add(new Row(new LinkedHashMap<>(record.toMap()))));
        }
        return table;
    }

    /** Returns the distinct values of a column, in order of appearance. */
    public Set<String> values(String column) {
        Set<String> distinct = new LinkedHashSet<>();
        rows.forEach(r -> distinct.add(r.get(column)));
        return distinct;
    }

    /** Returns the rows of runs that did not fail and match. */
    public List<Row> select(Predicate<Row> matching) {
        return rows.stream().filter(r -> !r.failed()).filter(matching).toList();
    }

    /** Returns the mean of a column over the rows. */
    public static Mean mean(List<Row> runs, String column) {
        return bootstrapMean(runs.stream().mapToDouble(r -> r.number(column)).toArray());
    }

    /** Returns the mean difference of one policy to another, paired by day (levels and seed). */
    public Mean pairedDifference(String policy, String reference, String column, Predicate<Row> matching) {
        Map<String, Double> valuesByDay = new TreeMap<>();
        for (Row row : select(matching)) {
            if (row.get("policy").equals(policy)) {
                valuesByDay.put(day(row), row.number(column));
            }
        }
        return bootstrapMean(select(matching).stream()
                .filter(r -> r.get("policy").equals(reference) && valuesByDay.containsKey(day(r)))
                .mapToDouble(r -> valuesByDay.get(day(r)) - r.number(column))
                .toArray());
    }

    /** Returns a key of the day of a row: levels and seed. */
    private String day(Row row) {
        StringBuilder day = new StringBuilder();
        factors.forEach(f -> day.append(row.get(f)).append('/'));
        return day.append(row.get("seed")).toString();
    }

    /** Returns mean and interval by the bootstrap; runs are independent, each with its own seed. */
    static Mean bootstrapMean(double[] values) {
        double mean = Arrays.stream(values).average().orElse(Double.NaN);
        if (values.length < 2) {
            return new Mean(mean, mean, mean, values.length);
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(values.length);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < values.length; j++) {
                sum += values[random.nextInt(values.length)];
            }
            means[i] = sum / values.length;
        }
        Arrays.sort(means);
        return new Mean(mean, means[(int) (RESAMPLES * 0.025)], means[(int) (RESAMPLES * 0.975)], values.length);
    }
}
