package puffinbarrow.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Searches an experiment's ranges for the day that breaks a rule, or loses most against another policy: first random
 * days, then mutations of the worst, then the worst day is reduced to the lines it needs. The same seed and number of
 * days give the same result. Called by the command line; days run on a pool of threads of its own.
 */
public final class Search {
    /** A day and its result; breaking a rule counts as worse than any loss. */
    public record Result(String text, String broken, double loss) {
        /** Returns the order of candidates: the higher, the worse. */
        double severity() {
            return loss + (broken.isEmpty() ? 0 : RULE_PENALTY);
        }

        /** Returns the result in a few words. */
        public String describe() {
            return broken.isEmpty()
                    ? String.format(Locale.ROOT, "loses %.3f of service", loss)
                    : String.format(Locale.ROOT, "breaks %s, loses %.3f of service", broken, loss);
        }
    }

    /** A candidate day: its drawn lines and, once it has been run, its result. */
    private record Candidate(long seed, List<String> lines, Result result) {}

    /** Added to the loss of a day that breaks a rule; more than any loss. */
    private static final int RULE_PENALTY = 10;
    /** Days run between two selections. */
    private static final int BATCH_SIZE = 16;
    /** Share of the days that are drawn at random before mutations begin. */
    private static final double RANDOM_SHARE = 0.5;
    /** Number of worst days that are mutated further. */
    private static final int POPULATION = 6;
    /** A reduced day is kept if at least this share of the loss is left. */
    private static final double MIN_LOSS_LEFT = 0.85;
    /** Duration of a line, {@code for 8s}; halved as long as the day stays as bad. */
    private static final Pattern DURATION = Pattern.compile("for ([0-9.]+)(s|ms)\\b");

    private final Experiment experiment;
    private final Policy policy;
    private final Policy reference;
    private final ExecutorService pool;
    private final int threads;
    private final UniformRandomProvider random;
    private final long seed;
    private final Consumer<String> progress;
    private int daysRun;

    /**
     * Creates a search.
     *
     * @param reference the policy that losses are counted against, or null: they are counted against full service
     * @param progress takes a line of text after each batch
     */
    public Search(
            Experiment experiment, Policy policy, Policy reference, long seed, int threads, Consumer<String> progress) {
        this.experiment = experiment;
        this.policy = policy;
        this.reference = reference;
        this.seed = seed;
        this.random = Experiment.random(seed);
        this.threads = threads;
        this.pool = Executors.newFixedThreadPool(threads);
        this.progress = progress;
    }

    /** Runs so many days and returns the worst one, reduced; null if none loses or breaks anything. */
    public Result run(int days) throws InterruptedException {
        try {
            List<Candidate> worst = new ArrayList<>();
            long nextSeed = seed * 1_000_000;
            while (daysRun < days) {
                List<Candidate> batch = new ArrayList<>();
                // Batches have a fixed size, so that the result does not depend on the number of threads.
                for (int i = 0; i < BATCH_SIZE && daysRun + i < days; i++) {
                    boolean drawNew = daysRun < days * RANDOM_SHARE || worst.isEmpty();
                    batch.add(
                            drawNew
                                    ? new Candidate(nextSeed, experiment.draws(nextSeed++), null)
                                    : mutate(worst.get(random.nextInt(worst.size()))));
                }
                worst.addAll(runAll(batch));
                worst.sort(Comparator.comparingDouble((Candidate c) -> -c.result.severity())
                        .thenComparing(c -> c.result.text));
                while (worst.size() > POPULATION) {
                    worst.remove(worst.size() - 1);
                }
                daysRun += batch.size();
                progress.accept(daysRun + " of " + days + " days; the worst "
                        + worst.get(0).result.describe());
            }
            Candidate worstDay = worst.get(0);
            return worstDay.result.severity() <= 0 ? null : reduce(worstDay).result;
        } finally {
            pool.shutdownNow();
        }
    }

    /** Runs the days in parallel and returns them with their results, in the same order. */
    private List<Candidate> runAll(List<Candidate> batch) throws InterruptedException {
        List<Callable<Candidate>> tasks = new ArrayList<>();
        for (Candidate each : batch) {
            tasks.add(() -> new Candidate(each.seed, each.lines, runDay(each)));
        }
        List<Candidate> results = new ArrayList<>();
        try {
            for (Future<Candidate> each : pool.invokeAll(tasks)) {
                results.add(each.get());
            }
        } catch (ExecutionException thrown) {
            throw new IllegalStateException(thrown.getCause());
        }
        return results;
    }

    /** Runs a day under both policies; a loss of -1 marks an invalid day. */
    private Result runDay(Candidate candidate) {
        String text = experiment.dayText(candidate.lines, List.of(), candidate.seed);
        Outcome outcome = ExperimentRunner.runDay(text, policy, experiment.maxEvents);
        if (outcome.failed != null && outcome.failed.startsWith("no sound day")) {
            return new Result(text, "", -1);
        }
        double referenceService =
                reference == null ? 1 : ExperimentRunner.runDay(text, reference, experiment.maxEvents).service;
        return new Result(text, outcome.failed != null ? "failed" : outcome.broken, referenceService - outcome.service);
    }

    /** Returns a mutation: a line added, a fault removed, or a line drawn again in place of one of its keyword. */
    private Candidate mutate(Candidate origin) {
        List<String> lines = new ArrayList<>(origin.lines);
        List<Experiment.Drawn> drawnLines = experiment.drawnLines;
        if (drawnLines.isEmpty()) {
            return new Candidate(origin.seed + 1, lines, null);
        }
        String line = Experiment.drawLine(drawnLines.get(random.nextInt(drawnLines.size())), random);
        int at = lines.isEmpty() ? -1 : random.nextInt(lines.size());
        String keyword = line.split(" ")[0];
        switch (random.nextInt(3)) {
            case 0 -> lines.add(line);
            case 1 -> {
                if (at >= 0 && lines.get(at).startsWith("at ")) {
                    lines.remove(at);
                }
            }
            default -> {
                // In place of one of its keyword, so that days do not fill up with faults.
                for (int i = 0; i < lines.size(); i++) {
                    if (lines.get(i).startsWith(keyword + " ")) {
                        lines.set(i, line);
                        return new Candidate(origin.seed, lines, null);
                    }
                }
                lines.add(line);
            }
        }
        return new Candidate(origin.seed, lines, null);
    }

    /** Returns whether a reduced day still breaks one of the rules, or keeps enough of the loss. */
    private boolean stillAsBad(Result reduced, Result original) {
        if (!original.broken.isEmpty()) {
            TreeSet<String> rules = new TreeSet<>(List.of(original.broken.split("\\+")));
            rules.retainAll(List.of(reduced.broken.split("\\+")));
            return !rules.isEmpty();
        }
        return reduced.loss >= MIN_LOSS_LEFT * original.loss;
    }

    /** Removes lines one by one, then halves durations, for as long as the day stays as bad. */
    private Candidate reduce(Candidate worstDay) throws InterruptedException {
        Candidate best = worstDay;
        for (boolean improved = true; improved; ) {
            improved = false;
            List<Candidate> reducedDays = new ArrayList<>();
            for (int i = 0; i < best.lines.size(); i++) {
                if (best.lines.get(i).startsWith("at ")) {
                    List<String> without = new ArrayList<>(best.lines);
                    without.remove(i);
                    reducedDays.add(new Candidate(best.seed, without, null));
                }
            }
            for (int i = 0; i < best.lines.size(); i++) {
                Matcher duration = DURATION.matcher(best.lines.get(i));
                if (best.lines.get(i).startsWith("at ")
                        && duration.find()
                        && Double.parseDouble(duration.group(1)) > 1) {
                    List<String> shorter = new ArrayList<>(best.lines);
                    shorter.set(
                            i,
                            duration.replaceFirst(String.format(
                                    Locale.ROOT,
                                    "for %.2f%s",
                                    Double.parseDouble(duration.group(1)) / 2,
                                    duration.group(2))));
                    reducedDays.add(new Candidate(best.seed, shorter, null));
                }
            }
            for (Candidate reduced : runAll(reducedDays)) {
                if (stillAsBad(reduced.result, worstDay.result)) {
                    best = reduced;
                    improved = true;
                    progress.accept("reduced to " + best.lines.size() + " drawn lines; " + best.result.describe());
                    break;
                }
            }
        }
        return best;
    }
}
