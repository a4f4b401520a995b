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

/** The results of an experiment, read back, and what can be said of them. */
public final class Sheet {
    /** One run. */
    public record Row(Map<String, String> cells) {
        public String get(String column) {
            return cells.get(column);
        }

        public double number(String column) {
            return Double.parseDouble(cells.get(column));
        }

        public boolean failed() {
            return !get("failed").isEmpty();
        }

        List<String> named(String column) {
            return get(column).isEmpty() ? List.of() : Arrays.asList(get(column).split("\\+"));
        }
    }

    /** A mean with its interval of 95% over runs. */
    public record Mean(double mean, double low, double high, int runs) {}

    /** Enough for an interval of 95% to stand to the second digit. */
    private static final int RESAMPLES = 2000;

    public final List<Row> rows = new ArrayList<>();
    /** All columns before the policy. */
    public final List<String> factors = new ArrayList<>();

    public static Sheet read(Path results) throws IOException {
        Sheet sheet = new Sheet();
        try (CSVParser in = CSVParser.parse(
                results,
                StandardCharsets.UTF_8,
                CSVFormat.DEFAULT
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .build())) {
            in.getHeaderNames().stream().takeWhile(n -> !n.equals("policy")).forEach(sheet.factors::add);
            in.forEach(record -> sheet.rows.add(new Row(new LinkedHashMap<>(record.toMap()))));
        }
        return sheet;
    }

    public Set<String> values(String column) {
        Set<String> values = new LinkedHashSet<>();
        rows.forEach(r -> values.add(r.get(column)));
        return values;
    }

    public List<Row> where(Predicate<Row> which) {
        return rows.stream().filter(r -> !r.failed()).filter(which).toList();
    }

    public static Mean mean(List<Row> of, String column) {
        return interval(of.stream().mapToDouble(r -> r.number(column)).toArray());
    }

    /** One policy less another on the same days: the difference of each pair, then their mean. */
    public Mean paired(String one, String other, String column, Predicate<Row> which) {
        Map<String, Double> ours = new TreeMap<>();
        for (Row row : where(which)) {
            if (row.get("policy").equals(one)) {
                ours.put(day(row), row.number(column));
            }
        }
        return interval(where(which).stream()
                .filter(r -> r.get("policy").equals(other) && ours.containsKey(day(r)))
                .mapToDouble(r -> ours.get(day(r)) - r.number(column))
                .toArray());
    }

    private String day(Row row) {
        StringBuilder day = new StringBuilder();
        factors.forEach(f -> day.append(row.get(f)).append('/'));
        return day.append(row.get("seed")).toString();
    }

    /** By the bootstrap: runs are independent of each other, each with its seed. */
    static Mean interval(double[] of) {
        double mean = Arrays.stream(of).average().orElse(Double.NaN);
        if (of.length < 2) {
            return new Mean(mean, mean, mean, of.length);
        }
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(of.length);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < of.length; j++) {
                sum += of[chance.nextInt(of.length)];
            }
            means[i] = sum / of.length;
        }
        Arrays.sort(means);
        return new Mean(mean, means[(int) (RESAMPLES * 0.025)], means[(int) (RESAMPLES * 0.975)], of.length);
    }
}
