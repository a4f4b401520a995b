package puffinbarrow.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import puffinbarrow.config.Problem;

/**
 * Checks the emulator against results of queueing theory: one server, no faults, next to no network delay. Used by
 * tests and by the benchmark of the emulator.
 */
public final class QueueingChecks {
    /** One comparison; expected and measured are mean sojourn times in milliseconds. */
    public record Check(String name, String formula, double expected, double measured) {
        /** Returns the relative deviation of the measured from the expected value. */
        public double relativeError() {
            return Math.abs(measured - expected) / expected;
        }
    }

    private QueueingChecks() {}

    /** Mean work of a flow; the script sets it to a fifth of the budget. */
    private static final double WORK_MS = 10;

    /** Runs all checks, each on a day of so many seconds. */
    public static List<Check> all(long seed, int seconds) {
        List<Check> checks = new ArrayList<>();
        for (double load : new double[] {0.5, 0.8}) {
            for (int cores : new int[] {1, 4}) {
                double arrivalsPerMs = load * cores / WORK_MS;
                checks.add(new Check(
                        String.format(Locale.ROOT, "M/M/%d at %.1f", cores, load),
                        "1/mu + C(c, a) / (c mu - lambda)," + " Erlang's C",
                        WORK_MS + erlangC(cores, load * cores) / (cores / WORK_MS - arrivalsPerMs),
                        meanSojournMs(seed, seconds, cores, load, "work exponential", "slots")));
            }
            // Pollaczek-Khinchine formula with a variance of 0.
            checks.add(new Check(
                    String.format(Locale.ROOT, "M/D/1 at %.1f", load),
                    "1/mu + rho / (2 mu (1 - rho)), Pollaczek-Khinchine",
                    WORK_MS + load * WORK_MS / (2 * (1 - load)),
                    meanSojournMs(seed, seconds, 1, load, "work spread 0.001", "slots")));
            checks.add(new Check(
                    String.format(Locale.ROOT, "M/M/1-PS at %.1f", load),
                    "1 / (mu (1 - rho)), whatever the distribution",
                    WORK_MS / (1 - load),
                    meanSojournMs(seed, seconds, 1, load, "work exponential", "processor")));
            checks.add(new Check(
                    String.format(Locale.ROOT, "M/G/1-PS at %.1f", load),
                    "the same: log-normal work of spread 1",
                    WORK_MS / (1 - load),
                    meanSojournMs(seed, seconds, 1, load, "work spread 1", "processor")));
        }
        return checks;
    }

    /** Returns the probability that a flow has to wait. */
    private static double erlangC(int servers, double offered) {
        // Computes Erlang's B by its recursion, then C from B.
        double blocking = 1;
        for (int i = 1; i <= servers; i++) {
            blocking = offered * blocking / (i + offered * blocking);
        }
        double rho = offered / servers;
        return blocking / (1 - rho * (1 - blocking));
    }

    /** Runs a day with one server and returns the mean sojourn time in milliseconds. */
    private static double meanSojournMs(long seed, int seconds, int cores, double load, String work, String sharing) {
        String day = String.format(
                Locale.ROOT,
                "coordinators 1%nproxies 1%nbackends 1 cores %d speed 1 to 1%nzones 1%nslices 1%n"
                        + "rate %f%nlength %ds%nseed %d%nretries 0%n%s%nset group all utility 1 budget %.0fms expiry 100s retriable%n"
                        + "model work %s%nmodel network 1us%nmodel waiting-room 100000%nmodel connections 100000%nmodel warm-keys 0 gain 0%n",
                cores,
                load * cores / WORK_MS * 1000,
                seconds,
                seed,
                work,
                5 * WORK_MS,
                sharing);
        List<Problem> problems = new ArrayList<>();
        EmulatedDay emulatedDay = EmulatedDay.parse("queueing", day, problems);
        if (!problems.isEmpty()) {
            throw new IllegalStateException(problems.toString());
        }
        Outcome outcome = new Fleet(emulatedDay, Policy.byName("random"), new QuaternaryHeap(), Long.MAX_VALUE).run();
        if (!outcome.complete() || outcome.dropped + outcome.blocked > 0) {
            throw new IllegalStateException("flows without an answer: " + outcome.text());
        }
        return outcome.latencyUs[0].getMean() / 1e3;
    }
}
