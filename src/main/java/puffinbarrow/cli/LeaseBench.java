package puffinbarrow.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.lease.Simulation;

/** The lease core in simulated time: random troubles by the million steps, and what a take-over costs. */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description =
                "Random kills, splits, pauses and delays against the"
                        + " lease core in simulated time; exit 3 if two voices, a term that goes back or a lost slice is found.")
final class LeaseBench implements Callable<Integer> {
    @Option(names = "--steps", paramLabel = "N", description = "in all (${DEFAULT-VALUE})")
    private long steps = 1_000_000;

    @Option(names = "--seed", paramLabel = "N", description = "of the first run (${DEFAULT-VALUE})")
    private long seed = 1;

    private static final long LEASE_NS = 1_500_000_000L;

    @Override
    public Integer call() {
        long done = 0;
        long runs = 0;
        long refused = 0;
        long doubled = 0;
        for (long at = seed; done < steps; at++, runs++) {
            // Every fourth run with clocks that jump.
            Simulation.Plan plan =
                    Simulation.plan(at, 3 + (int) (at % 3), 24, LEASE_NS, 60 * LEASE_NS, 0.05, at % 4 == 0);
            Simulation.Outcome outcome = Simulation.run(plan);
            done += outcome.steps();
            refused += outcome.refused();
            doubled += outcome.doubled();
            if (outcome.broken() != null) {
                System.out.println("BROKEN, seed " + at + ": " + outcome.broken());
                Simulation.shrink(plan).faults().forEach(f -> System.out.println("  needed: " + f));
                return Commands.RULE;
            }
        }
        System.out.println(runs + " runs, " + done + " steps, nothing broken; " + refused
                + " old orders refused by proxies, " + doubled + " repeated ones passed over");
        kills(5, 300);
        kills(5, 10_000);
        return Commands.FINE;
    }

    /** One member dies, returns much later: how long its slices are silent, what moves, what the store is asked. */
    private void kills(int members, int slices) {
        Histogram silent = new Histogram(3_600_000, 3);
        long moves = 0;
        long least = 0;
        double writes = 0;
        int uneven = 0;
        int runs = slices > 1000 ? 2 : 20;
        for (int i = 0; i < runs; i++) {
            long length = 60 * LEASE_NS;
            Simulation.Plan plan = new Simulation.Plan(
                    seed + i,
                    members,
                    slices,
                    1,
                    LEASE_NS,
                    length,
                    0.05,
                    false,
                    List.of(new Simulation.Fault(Simulation.Kind.KILL, 30 * LEASE_NS, 20 * LEASE_NS, i % members)));
            Simulation.Outcome outcome = Simulation.run(plan);
            silent.add(outcome.silentMs());
            moves += outcome.moves();
            // All once, the dead one's part away and back again.
            least += slices + 2L * slices / members;
            writes += outcome.writes() / ((length + 46 * LEASE_NS) / 1e9);
            uneven = Math.max(uneven, outcome.unevenness());
        }
        System.out.printf(
                Locale.ROOT,
                "%d members, %d slices, a kill and a return: silent p50 %.0f ms, p99 %.0f ms, most %.0f"
                        + " ms (a lease is %.0f ms); changes of voice %.2f of the least possible; %.1f writes/s; shares differ by %d"
                        + " at most%n",
                members,
                slices,
                (double) silent.getValueAtPercentile(50),
                (double) silent.getValueAtPercentile(99),
                (double) silent.getMaxValue(),
                LEASE_NS / 1e6,
                (double) moves / least,
                writes / runs,
                uneven);
    }
}
