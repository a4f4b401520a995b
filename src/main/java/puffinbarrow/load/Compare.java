package puffinbarrow.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Two result folders side by side, with bootstrap intervals that say what is noise. */
public final class Compare {
    /** Enough for an interval of 95% to stand to the second digit. */
    private static final int RESAMPLES = 1000;
    /**
     * Seconds next to each other resemble each other: blocks of so many are drawn together, as singles would make
     * intervals too narrow.
     */
    private static final int BLOCK = 3;

    private Compare() {}

    public static String text(Path a, Path b, long seed) throws IOException {
        Map<String, double[]> left = columns(a);
        Map<String, double[]> right = columns(b);
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(
                String.format("%-14s %12s %12s %26s%n", "by second", "A", "B", "B - A, 95% interval"));
        for (String column : left.keySet()) {
            double[] x = left.get(column);
            double[] y = right.get(column);
            if (column.equals("second") || y == null || mean(x) == 0 && mean(y) == 0) {
                continue;
            }
            if (x.length < 2 * BLOCK || y.length < 2 * BLOCK) {
                throw new IOException("under " + 2 * BLOCK + " whole seconds, expected more to tell noise by");
            }
            double[] differences = new double[RESAMPLES];
            for (int i = 0; i < RESAMPLES; i++) {
                differences[i] = resampled(y, chance) - resampled(x, chance);
            }
            Arrays.sort(differences);
            double low = differences[(int) (RESAMPLES * 0.025)];
            double high = differences[(int) (RESAMPLES * 0.975)];
            text.append(String.format(
                    Locale.ROOT,
                    "%-14s %12.1f %12.1f %12.1f to %-10.1f %s%n",
                    column,
                    mean(x),
                    mean(y),
                    low,
                    high,
                    low <= 0 && high >= 0 ? "noise" : "differs"));
        }
        return text.toString();
    }

    private static double resampled(double[] from, UniformRandomProvider chance) {
        double sum = 0;
        int taken = 0;
        while (taken < from.length) {
            int begin = chance.nextInt(from.length);
            for (int i = 0; i < BLOCK && taken < from.length; i++, taken++) {
                sum += from[(begin + i) % from.length];
            }
        }
        return sum / from.length;
    }

    private static double mean(double[] of) {
        return Arrays.stream(of).average().orElse(0);
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
            columns.put(
                    names[c],
                    rows.stream()
                            .mapToDouble(r -> Double.parseDouble(r[column]))
                            .toArray());
        }
        return columns;
    }
}
