package puffinbarrow.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
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
 * Plays an experiment's runs side by side and keeps a row of each: at once in {@code runs.part.csv}, so that a run that was
 * cut off goes on where it stood, and when all are done sorted in {@code results.csv}, which follows from the experiment
 * alone. What this machine took stands apart, in {@code timings.csv}.
 */
public final class Runs {
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
    /** In the part file only. */
    private static final List<String> COSTS = List.of("wall_s", "decision_us_per_event", "decisions_share");

    private final Experiment experiment;
    private final Path folder;
    private final int threads;
    private final Consumer<String> progress;

    public Runs(Experiment experiment, Path folder, int threads, Consumer<String> progress) {
        this.experiment = experiment;
        this.folder = folder;
        this.threads = threads;
        this.progress = progress;
    }

    /** One day, whatever comes of it. */
    static Outcome play(String text, Policy policy, long mostEvents) {
        List<Problem> problems = new ArrayList<>();
        Setup setup = Setup.parse("run", text, problems);
        if (!problems.isEmpty()) {
            return failed("no sound day: " + problems.get(0));
        }
        try {
            return new Fleet(setup, policy, new Heap(), mostEvents).run();
        } catch (RuntimeException | OutOfMemoryError thrown) {
            return failed("threw " + thrown);
        }
    }

    private static Outcome failed(String why) {
        Outcome outcome = new Outcome();
        outcome.failed = why;
        return outcome;
    }

    private List<String> columns() {
        List<String> columns = new ArrayList<>(experiment.factors.keySet());
        columns.add("policy");
        columns.add("seed");
        columns.addAll(MEASURES);
        return columns;
    }

    private List<String> row(Experiment.Run run, Outcome o) {
        List<String> row = new ArrayList<>(run.levels());
        row.add(run.policy());
        row.add(Long.toString(run.seed()));
        row.addAll(List.of(
                number(o.service),
                number(o.worst),
                "" + o.intended,
                "" + o.inBudget,
                "" + o.late,
                "" + o.blocked,
                "" + o.dropped,
                number(o.p50Ms),
                number(o.p99Ms),
                number(o.p999Ms),
                "" + o.moves,
                "" + o.handed,
                "" + (long) o.linesSent,
                "" + o.retried,
                "" + o.cutOff,
                "" + o.events,
                o.broken,
                String.join("+", experiment.troubles(run.seed())),
                o.failed == null ? "" : o.failed.replace('\n', ' ')));
        return row;
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.5f", value);
    }

    /** All rows in their order, played or read from an earlier, cut-off try; false if the folder is another experiment's. */
    public boolean play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        String identity = Long.toHexString(Hashing.komihash5_0()
                .hashStream()
                .putString(experiment.identity())
                .getAsLong());
        Path mark = folder.resolve("experiment.id");
        if (Files.exists(mark) && !Files.readString(mark).trim().equals(identity)) {
            return false;
        }
        Files.writeString(mark, identity + "\n");
        Path part = folder.resolve("runs.part.csv");
        Map<String, List<String>> rows = kept(part);
        List<Experiment.Run> todo = experiment.runs().stream()
                .filter(r -> !rows.containsKey(r.key()))
                .toList();
        int all = experiment.runs().size();
        if (!rows.isEmpty()) {
            progress.accept(rows.size() + " of " + all + " runs are there from an earlier try");
        }
        long began = System.nanoTime();
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try (Writer out = Files.newBufferedWriter(
                part, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (Experiment.Run run : todo) {
                pool.execute(() -> {
                    long from = System.nanoTime();
                    Outcome outcome = play(experiment.text(run), Policy.named(run.policy()), experiment.mostEvents);
                    double wall = (System.nanoTime() - from) / 1e9;
                    List<String> row = row(run, outcome);
                    row.addAll(List.of(
                            number(wall),
                            number(outcome.decisionNs / 1e3 / Math.max(1, outcome.decisionEvents)),
                            number(outcome.decisionNs / 1e9 / wall)));
                    synchronized (rows) {
                        rows.put(run.key(), row);
                        try {
                            out.write(CSVFormat.DEFAULT.format(row.toArray()) + "\n");
                            out.flush();
                        } catch (IOException full) {
                            throw new java.io.UncheckedIOException(full);
                        }
                        double left = (System.nanoTime() - began)
                                / 1e9
                                / Math.max(1, rows.size() - (all - todo.size()))
                                * (all - rows.size());
                        progress.accept(
                                String.format(Locale.ROOT, "%d of %d runs, about %.0f s left", rows.size(), all, left));
                    }
                });
            }
            pool.shutdown();
            pool.awaitTermination(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
        } finally {
            pool.shutdownNow();
        }
        if (rows.size() < all) {
            throw new IOException((all - rows.size()) + " runs could not be kept");
        }
        finish(rows);
        Files.delete(part);
        return true;
    }

    private void finish(Map<String, List<String>> rows) throws IOException {
        int costs = COSTS.size();
        StringBuilder results =
                new StringBuilder(CSVFormat.DEFAULT.format(columns().toArray())).append('\n');
        List<String> timed = new ArrayList<>(columns().subList(0, experiment.factors.size() + 2));
        timed.addAll(COSTS);
        StringBuilder timings = new StringBuilder(CSVFormat.DEFAULT.format(timed.toArray())).append('\n');
        for (Experiment.Run run : experiment.runs()) {
            List<String> row = rows.get(run.key());
            results.append(CSVFormat.DEFAULT.format(
                            row.subList(0, row.size() - costs).toArray()))
                    .append('\n');
            List<String> cost = new ArrayList<>(row.subList(0, experiment.factors.size() + 2));
            cost.addAll(row.subList(row.size() - costs, row.size()));
            timings.append(CSVFormat.DEFAULT.format(cost.toArray())).append('\n');
        }
        write("timings.csv", timings.toString());
        write("results.csv", results.toString());
    }

    private void write(String name, String text) throws IOException {
        Path next = folder.resolve(name + ".new");
        Files.writeString(next, text, StandardCharsets.UTF_8);
        Files.move(next, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Rows of an earlier try. The last may be torn: whatever is not whole is played again, and cut off the file. */
    private Map<String, List<String>> kept(Path part) throws IOException {
        Map<String, List<String>> rows = new LinkedHashMap<>();
        Path whole = folder.resolve("results.csv");
        if (!Files.exists(part) && Files.exists(whole)) {
            Map<String, List<String>> costs = new HashMap<>();
            int keys = experiment.factors.size() + 2;
            for (List<String> row : rows(folder.resolve("timings.csv"))) {
                costs.put(row.subList(0, keys).toString(), row.subList(keys, row.size()));
            }
            for (List<String> row : rows(whole)) {
                List<String> both = new ArrayList<>(row);
                both.addAll(costs.get(row.subList(0, keys).toString()));
                rows.put(run(row).key(), both);
            }
            return rows;
        }
        if (!Files.exists(part)) {
            return rows;
        }
        String text = Files.readString(part, StandardCharsets.UTF_8);
        text = text.substring(0, text.lastIndexOf('\n') + 1);
        Files.writeString(part, text, StandardCharsets.UTF_8);
        try (CSVParser in = CSVParser.parse(text, CSVFormat.DEFAULT)) {
            for (CSVRecord record : in) {
                if (record.size() == columns().size() + COSTS.size()) {
                    rows.put(run(record.toList()).key(), record.toList());
                }
            }
        }
        return rows;
    }

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
