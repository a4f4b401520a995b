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
 * Hunts an experiment's ranges for the day that breaks a rule, or loses most against another policy: first days at random,
 * then changes to the worst, then the worst cut down to what it needs. The same seed and number of days find the same.
 */
public final class Search {
    /** A day and how bad it is. Breaking a rule is worse than any loss. */
    public record Find(String text, String broken, double loss) {
        double badness() {
            return loss + (broken.isEmpty() ? 0 : 10);
        }

        public String told() {
            return broken.isEmpty()
                    ? String.format(Locale.ROOT, "loses %.3f of service", loss)
                    : String.format(Locale.ROOT, "breaks %s, loses %.3f of service", broken, loss);
        }
    }

    /** A candidate: which of the drawn lines stand, and how they were drawn. */
    private record Candidate(long seed, List<String> lines, Find find) {}

    /** Days at random before changes begin. */
    private static final double AT_RANDOM = 0.5;
    /** The worst so many are changed further. */
    private static final int KEPT = 6;
    /** A cut is kept if this part of the loss is left. */
    private static final double LEFT = 0.85;
    /** The last time of a line, {@code for 8s}; halved while it matters no less. */
    private static final Pattern LASTS = Pattern.compile("for ([0-9.]+)(s|ms)\\b");

    private final Experiment experiment;
    private final Policy policy, against;
    private final ExecutorService pool;
    private final int threads;
    private final UniformRandomProvider chance;
    private final long seed;
    private final Consumer<String> progress;
    private int played;

    public Search(
            Experiment experiment, Policy policy, Policy against, long seed, int threads, Consumer<String> progress) {
        this.experiment = experiment;
        this.policy = policy;
        this.against = against;
        this.seed = seed;
        this.chance = Experiment.chance(seed);
        this.threads = threads;
        this.pool = Executors.newFixedThreadPool(threads);
        this.progress = progress;
    }

    /** The worst after so many days, cut down; null if none loses or breaks anything. */
    public Find run(int days) throws InterruptedException {
        try {
            List<Candidate> worst = new ArrayList<>();
            long next = seed * 1_000_000;
            while (played < days) {
                List<Candidate> batch = new ArrayList<>();
                // A batch is of a fixed size, so that the number of threads changes nothing.
                for (int i = 0; i < 16 && played + i < days; i++) {
                    boolean fresh = played < days * AT_RANDOM || worst.isEmpty();
                    batch.add(
                            fresh
                                    ? new Candidate(next, experiment.draws(next++), null)
                                    : changed(worst.get(chance.nextInt(worst.size()))));
                }
                worst.addAll(judged(batch));
                worst.sort(Comparator.comparingDouble((Candidate c) -> -c.find.badness())
                        .thenComparing(c -> c.find.text));
                while (worst.size() > KEPT) {
                    worst.remove(worst.size() - 1);
                }
                played += batch.size();
                progress.accept(played + " of " + days + " days; the worst "
                        + worst.get(0).find.told());
            }
            Candidate found = worst.get(0);
            return found.find.badness() <= 0 ? null : shrunk(found).find;
        } finally {
            pool.shutdownNow();
        }
    }

    private List<Candidate> judged(List<Candidate> batch) throws InterruptedException {
        List<Callable<Candidate>> work = new ArrayList<>();
        for (Candidate each : batch) {
            work.add(() -> new Candidate(each.seed, each.lines, judge(each)));
        }
        List<Candidate> done = new ArrayList<>();
        try {
            for (Future<Candidate> each : pool.invokeAll(work)) {
                done.add(each.get());
            }
        } catch (ExecutionException thrown) {
            throw new IllegalStateException(thrown.getCause());
        }
        return done;
    }

    private Find judge(Candidate of) {
        String text = experiment.text(of.lines, List.of(), of.seed);
        Outcome ours = Runs.play(text, policy, experiment.mostEvents);
        if (ours.failed != null && ours.failed.startsWith("no sound day")) {
            return new Find(text, "", -1);
        }
        double theirs = against == null ? 1 : Runs.play(text, against, experiment.mostEvents).service;
        return new Find(text, ours.failed != null ? "failed" : ours.broken, theirs - ours.service);
    }

    /** One drawn line anew, one taken away, or one that did not stand. */
    private Candidate changed(Candidate of) {
        List<String> lines = new ArrayList<>(of.lines);
        List<Experiment.Drawn> drawn = experiment.drawn;
        if (drawn.isEmpty()) {
            return new Candidate(of.seed + 1, lines, null);
        }
        String line = Experiment.draw(drawn.get(chance.nextInt(drawn.size())), chance);
        int at = lines.isEmpty() ? -1 : chance.nextInt(lines.size());
        String keyword = line.split(" ")[0];
        switch (chance.nextInt(3)) {
            case 0 -> lines.add(line);
            case 1 -> {
                if (at >= 0 && lines.get(at).startsWith("at ")) {
                    lines.remove(at);
                }
            }
            default -> {
                // In place of one of its kind, so that no day is all troubles.
                for (int i = 0; i < lines.size(); i++) {
                    if (lines.get(i).startsWith(keyword + " ")) {
                        lines.set(i, line);
                        return new Candidate(of.seed, lines, null);
                    }
                }
                lines.add(line);
            }
        }
        return new Candidate(of.seed, lines, null);
    }

    private boolean asBad(Find cut, Find whole) {
        if (!whole.broken.isEmpty()) {
            TreeSet<String> rules = new TreeSet<>(List.of(whole.broken.split("\\+")));
            rules.retainAll(List.of(cut.broken.split("\\+")));
            return !rules.isEmpty();
        }
        return cut.loss >= LEFT * whole.loss;
    }

    /** Line by line taken away, then durations halved, for as long as it stays as bad. */
    private Candidate shrunk(Candidate found) throws InterruptedException {
        Candidate best = found;
        for (boolean again = true; again; ) {
            again = false;
            List<Candidate> cuts = new ArrayList<>();
            for (int i = 0; i < best.lines.size(); i++) {
                if (best.lines.get(i).startsWith("at ")) {
                    List<String> without = new ArrayList<>(best.lines);
                    without.remove(i);
                    cuts.add(new Candidate(best.seed, without, null));
                }
            }
            for (int i = 0; i < best.lines.size(); i++) {
                Matcher lasts = LASTS.matcher(best.lines.get(i));
                if (best.lines.get(i).startsWith("at ") && lasts.find() && Double.parseDouble(lasts.group(1)) > 1) {
                    List<String> shorter = new ArrayList<>(best.lines);
                    shorter.set(
                            i,
                            lasts.replaceFirst(String.format(
                                    Locale.ROOT,
                                    "for %.2f%s",
                                    Double.parseDouble(lasts.group(1)) / 2,
                                    lasts.group(2))));
                    cuts.add(new Candidate(best.seed, shorter, null));
                }
            }
            for (Candidate cut : judged(cuts)) {
                if (asBad(cut.find, found.find)) {
                    best = cut;
                    again = true;
                    progress.accept("cut to " + best.lines.size() + " drawn lines; " + best.find.told());
                    break;
                }
            }
        }
        return best;
    }
}
