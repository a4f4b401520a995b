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

/**
 * Compares two result folders column by column of their seconds.csv, with bootstrap intervals that separate a
 * difference from noise. Called by the load compare command.
 */
public final class Compare {
    /** Resamples per column; enough to settle a 95% interval to two digits. */
    private static final int RESAMPLES = 1000;
    /**
     * Seconds drawn together. Neighbouring seconds resemble each other, so resampling single seconds would make the
     * intervals too narrow.
     */
    private static final int BLOCK_SECONDS = 3;

    private Compare() {}

    /**
     * Returns the comparison as a table.
     *
     * @param seed of the resampling
     */
    public static String text(Path a, Path b, long seed) throws IOException {
        Map<String, double[]> columnsA = columns(a);
        Map<String, double[]> columnsB = columns(b);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(
                String.format("%-14s %12s %12s %26s%n", "by second", "A", "B", "B - A, 95% interval"));
        for (String column : columnsA.keySet()) {
            double[] valuesA = columnsA.get(column);
            double[] valuesB = columnsB.get(column);
            if (column.equals("second") || valuesB == null || mean(valuesA) == 0 && mean(valuesB) == 0) {
                continue;
            }
            if (valuesA.length < 2 * BLOCK_SECONDS || valuesB.length < 2 * BLOCK_SECONDS) {
                throw new IOException(
                        "fewer than " + 2 * BLOCK_SECONDS + " whole seconds, expected at least as many to tell noise");
            }
            double[] differences = new double[RESAMPLES];
            for (int i = 0; i < RESAMPLES; i++) {
                differences[i] = resampledMean(valuesB, random) - resampledMean(valuesA, random);
            }
            Arrays.sort(differences);
            double low = differences[(int) (RESAMPLES * 0.025)];
            double high = differences[(int) (RESAMPLES * 0.975)];
            text.append(String.format(
                    Locale.ROOT,
                    "%-14s %12.1f %12.1f %12.1f to %-10.1f %s%n",
                    column,
                    mean(valuesA),
                    mean(valuesB),
                    low,
                    high,
                    low <= 0 && high >= 0 ? "noise" : "differs"));
        }
        return text.toString();
    }

    /** Returns the mean of a resample of the same size, drawn in blocks. */
    private static double resampledMean(double[] values, UniformRandomProvider random) {
        double sum = 0;
        int taken = 0;
        while (taken < values.length) {
            int begin = random.nextInt(values.length);
            for (int i = 0; i < BLOCK_SECONDS && taken < values.length; i++, taken++) {
                sum += values[(begin + i) % values.length];
            }
        }
        return sum / values.length;
    }

    private static double mean(double[] values) {
        return Arrays.stream(values).average().orElse(0);
    }

    /** Reads the columns of a folder by name. Leaves out the last second, which the run's end cuts short. */
    private static Map<String, double[]> columns(Path folder) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("seconds.csv"));
        String[] names = lines.get(0).split(",");
        List<String[]> rows = new ArrayList<>();
        lines.subList(1, Math.max(1, lines.size() - 1)).forEach(line -> rows.add(line.split(",")));
        Map<String, double[]> columns = new TreeMap<>();
        for (int i = 0; i < names.length; i++) {
            int column = i;
            columns.put(
                    names[i],
                    rows.stream()
                            .mapToDouble(row -> Double.parseDouble(row[column]))
                            .toArray());
        }
        return columns;
    }
}
