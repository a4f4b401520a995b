package puffinbarrow.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import puffinbarrow.config.Problem;

/**
 * Executes the runs of an experiment on several threads. Each finished run is appended to {@code runs.part.csv}, so
 * that an interrupted experiment continues where it stopped; when all are done, {@code results.csv} holds them in
 * order and depends on the experiment alone. The cost of the runs on this machine is written separately, to
 * {@code timings.csv}.
 */
public final class ExperimentRunner {
    /** Columns of measures in results.csv, after levels, policy and seed. */
    public static final List<String> MEASURES = List.of(
            "service",
            "worst",
            "intended",
            "in_budget",
            "late",
            "blocked",
            "dropped",
            "p50_ms",
            "p99_ms",
            "p999_ms",
            "moves",
            "handed",
            "lines",
            "retried",
            "cut_off",
            "events",
            "broken",
            "troubles",
            "failed");
    /** Columns on the cost of a run, which results.csv leaves out. */
    private static final List<String> COSTS = List.of("wall_s", "decision_us_per_event", "decisions_share");

    private final Experiment experiment;
    private final Path folder;
    private final int threads;
    private final Consumer<String> progress;

    /**
     * Creates the runner of an experiment.
     *
     * @param folder holds the result files; created if missing
     * @param progress takes a line of text after each run; called by the threads of the runs, one at a time
     */
    public ExperimentRunner(Experiment experiment, Path folder, int threads, Consumer<String> progress) {
        this.experiment = experiment;
        this.folder = folder;
        this.threads = threads;
        this.progress = progress;
    }

    /** Runs one day; returns an outcome in any case, failed if the day is invalid or the run throws. */
    static Outcome runDay(String text, Policy policy, long maxEvents) {
        List<Problem> problems = new ArrayList<>();
        EmulatedDay emulatedDay = EmulatedDay.parse("run", text, problems);
        if (!problems.isEmpty()) {
            return failed("no sound day: " + problems.get(0));
        }
        try {
            return new Fleet(emulatedDay, policy, new QuaternaryHeap(), maxEvents).run();
        } catch (RuntimeException | OutOfMemoryError thrown) {
            return failed("threw " + thrown);
        }
    }

    private static Outcome failed(String reason) {
        Outcome outcome = new Outcome();
        outcome.failed = reason;
        return outcome;
    }

    private List<String> columns() {
        List<String> columns = new ArrayList<>(experiment.factors.keySet());
        columns.add("policy");
        columns.add("seed");
        columns.addAll(MEASURES);
        return columns;
    }

    /** Returns the cells of a run, in the order of the columns. */
    private List<String> row(Experiment.Run run, Outcome o) {
        List<String> row = new ArrayList<>(run.levels());
        row.add(run.policy());
        row.add(Long.toString(run.seed()));
        row.addAll(List.of(
                number(o.service),
                number(o.worstWindow),
                "" + o.intended,
                "" + o.inBudget,
                "" + o.late,
                "" + o.blocked,
                "" + o.dropped,
                number(o.p50Ms),
                number(o.p99Ms),
                number(o.p999Ms),
                "" + o.moves,
                "" + o.ownerChanges,
                "" + (long) o.linesSent,
                "" + o.proxyRetries,
                "" + o.cutOffs,
                "" + o.events,
                o.broken,
                String.join("+", experiment.faultNames(run.seed())),
                o.failed == null ? "" : o.failed.replace('\n', ' ')));
        return row;
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.5f", value);
    }

    /**
     * Executes all runs that an earlier, interrupted call has not finished and writes the result files; returns false
     * if the folder belongs to another experiment.
     */
    public boolean run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        String identity = Long.toHexString(Hashing.komihash5_0()
                .hashStream()
                .putString(experiment.identity())
                .getAsLong());
        Path idFile = folder.resolve("experiment.id");
        if (Files.exists(idFile) && !Files.readString(idFile).trim().equals(identity)) {
            return false;
        }
        Files.writeString(idFile, identity + "\n");
        Path partFile = folder.resolve("runs.part.csv");
        Map<String, List<String>> rows = readEarlierRows(partFile);
        List<Experiment.Run> pendingRuns = experiment.runs().stream()
                .filter(r -> !rows.containsKey(r.key()))
                .toList();
        int runCount = experiment.runs().size();
        if (!rows.isEmpty()) {
            progress.accept(rows.size() + " of " + runCount + " runs were completed by an earlier call");
        }
        long beganNs = System.nanoTime();
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try (Writer out = Files.newBufferedWriter(
                partFile, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (Experiment.Run run : pendingRuns) {
                pool.execute(() -> {
                    long startedNs = System.nanoTime();
                    Outcome outcome =
                            runDay(experiment.dayText(run), Policy.byName(run.policy()), experiment.maxEvents);
                    double wallSeconds = (System.nanoTime() - startedNs) / 1e9;
                    List<String> row = row(run, outcome);
                    row.addAll(List.of(
                            number(wallSeconds),
                            number(outcome.decisionNs / 1e3 / Math.max(1, outcome.decisionEvents)),
                            number(outcome.decisionNs / 1e9 / wallSeconds)));
                    synchronized (rows) {
                        rows.put(run.key(), row);
                        try {
                            out.write(CSVFormat.DEFAULT.format(row.toArray()) + "\n");
                            out.flush();
                        } catch (IOException failure) {
                            throw new UncheckedIOException(failure);
                        }
                        double secondsLeft = (System.nanoTime() - beganNs)
                                / 1e9
                                / Math.max(1, rows.size() - (runCount - pendingRuns.size()))
                                * (runCount - rows.size());
                        progress.accept(String.format(
                                Locale.ROOT, "%d of %d runs, about %.0f s left", rows.size(), runCount, secondsLeft));
                    }
                });
            }
            pool.shutdown();
            pool.awaitTermination(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
        } finally {
            pool.shutdownNow();
        }
        if (rows.size() < runCount) {
            throw new IOException((runCount - rows.size()) + " runs could not be recorded");
        }
        writeResults(rows);
        Files.delete(partFile);
        return true;
    }

    /** Writes the final files from the rows of all runs. */
    private void writeResults(Map<String, List<String>> rows) throws IOException {
        int costCount = COSTS.size();
        StringBuilder results =
                new StringBuilder(CSVFormat.DEFAULT.format(columns().toArray())).append('\n');
        List<String> timingColumns = new ArrayList<>(columns().subList(0, experiment.factors.size() + 2));
        timingColumns.addAll(COSTS);
        StringBuilder timings = new StringBuilder(CSVFormat.DEFAULT.format(timingColumns.toArray())).append('\n');
        for (Experiment.Run run : experiment.runs()) {
            List<String> row = rows.get(run.key());
            results.append(CSVFormat.DEFAULT.format(
                            row.subList(0, row.size() - costCount).toArray()))
                    .append('\n');
            List<String> cost = new ArrayList<>(row.subList(0, experiment.factors.size() + 2));
            cost.addAll(row.subList(row.size() - costCount, row.size()));
            timings.append(CSVFormat.DEFAULT.format(cost.toArray())).append('\n');
        }
        write("timings.csv", timings.toString());
        write("results.csv", results.toString());
    }

    /** Replaces a file atomically. */
    private void write(String name, String text) throws IOException {
        Path newFile = folder.resolve(name + ".new");
        Files.writeString(newFile, text, StandardCharsets.UTF_8);
        Files.move(newFile, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Reads the rows of an earlier, interrupted call. The last row may be incomplete: it is cut off the file and its
     * run is repeated.
     */
    private Map<String, List<String>> readEarlierRows(Path partFile) throws IOException {
        Map<String, List<String>> rows = new LinkedHashMap<>();
        Path resultsFile = folder.resolve("results.csv");
        if (!Files.exists(partFile) && Files.exists(resultsFile)) {
            Map<String, List<String>> costsByKey = new HashMap<>();
            int keyColumns = experiment.factors.size() + 2;
            for (List<String> row : rows(folder.resolve("timings.csv"))) {
                costsByKey.put(row.subList(0, keyColumns).toString(), row.subList(keyColumns, row.size()));
            }
            for (List<String> row : rows(resultsFile)) {
                List<String> fullRow = new ArrayList<>(row);
                fullRow.addAll(costsByKey.get(row.subList(0, keyColumns).toString()));
                rows.put(run(row).key(), fullRow);
            }
            return rows;
        }
        if (!Files.exists(partFile)) {
            return rows;
        }
        String text = Files.readString(partFile, StandardCharsets.UTF_8);
        text = text.substring(0, text.lastIndexOf('\n') + 1);
        Files.writeString(partFile, text, StandardCharsets.UTF_8);
        try (CSVParser in = CSVParser.parse(text, CSVFormat.DEFAULT)) {
            for (CSVRecord record : in) {
                if (record.size() == columns().size() + COSTS.size()) {
                    rows.put(run(record.toList()).key(), record.toList());
                }
            }
        }
        return rows;
    }

    /** Returns the run that a row belongs to. */
    private Experiment.Run run(List<String> row) {
        int factors = experiment.factors.size();
        return new Experiment.Run(
                List.copyOf(row.subList(0, factors)), row.get(factors), Long.parseLong(row.get(factors + 1)));
    }

    private static List<List<String>> rows(Path file) throws IOException {
        try (CSVParser in = CSVParser.parse(file, StandardCharsets.UTF_8, CSVFormat.DEFAULT)) {
            List<List<String>> rows = new ArrayList<>();
            in.forEach(r -> rows.add(r.toList()));
            return rows.subList(1, rows.size());
        }
    }
}
