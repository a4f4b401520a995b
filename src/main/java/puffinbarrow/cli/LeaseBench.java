package puffinbarrow.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.lease.Simulation;

/**
 * Runs the lease core in simulated time: millions of steps under random faults, then the cost of a takeover by the
 * number of slices.
 */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description = "Random kills, splits, pauses and delays against the"
                + " lease core in simulated time; exit 3 if a slice has two owners,"
                + " a term goes back or a slice is lost.")
final class LeaseBench implements Callable<Integer> {
    @Option(names = "--steps", paramLabel = "N", description = "steps in all (${DEFAULT-VALUE})")
    private long steps = 1_000_000;

    @Option(names = "--seed", paramLabel = "N", description = "seed of the first run (${DEFAULT-VALUE})")
    private long seed = 1;

    private static final long LEASE_NS = 1_500_000_000L;

    @Override
    public Integer call() {
        long stepsDone = 0;
        long runs = 0;
        long refused = 0;
        long duplicatesIgnored = 0;
        for (long runSeed = seed; stepsDone < steps; runSeed++, runs++) {
            // Clocks jump in every fourth run.
            Simulation.Plan plan = Simulation.plan(
                    runSeed, 3 + (int) (runSeed % 3), 24, LEASE_NS, 60 * LEASE_NS, 0.05, runSeed % 4 == 0);
            Simulation.Outcome outcome = Simulation.run(plan);
            stepsDone += outcome.steps();
            refused += outcome.refused();
            duplicatesIgnored += outcome.duplicatesIgnored();
            if (outcome.violation() != null) {
                System.out.println("BROKEN, seed " + runSeed + ": " + outcome.violation());
                Simulation.shrink(plan).faults().forEach(f -> System.out.println("  needed: " + f));
                return Commands.RULE_BROKEN;
            }
        }
        System.out.println(runs + " runs, " + stepsDone + " steps, nothing broken; " + refused
                + " old orders refused by proxies, " + duplicatesIgnored + " repeated ones passed over");
        measureTakeover(5, 300);
        measureTakeover(5, 10_000);
        return Commands.OK;
    }

    /** Kills one member, which returns much later, and prints how long its slices have no owner and what it costs. */
    private void measureTakeover(int members, int slices) {
        Histogram withoutOwnerMs = new Histogram(3_600_000, 3);
        long ownerChanges = 0;
        long fewestMoves = 0;
        double writesPerSecond = 0;
        int imbalance = 0;
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
            withoutOwnerMs.add(outcome.ownerlessMs());
            ownerChanges += outcome.ownerChanges();
            // Each slice is assigned once, and the killed member's share moves away and back.
            fewestMoves += slices + 2L * slices / members;
            writesPerSecond += outcome.writes() / ((length + 46 * LEASE_NS) / 1e9);
            imbalance = Math.max(imbalance, outcome.imbalance());
        }
        System.out.printf(
                Locale.ROOT,
                "%d members, %d slices, a kill and a return: silent p50 %.0f ms, p99 %.0f ms, most %.0f"
                        + " ms (a lease is %.0f ms); changes of voice %.2f of the least possible;"
                        + " %.1f writes/s; shares differ by %d"
                        + " at most%n",
                members,
                slices,
                (double) withoutOwnerMs.getValueAtPercentile(50),
                (double) withoutOwnerMs.getValueAtPercentile(99),
                (double) withoutOwnerMs.getMaxValue(),
                LEASE_NS / 1e6,
                (double) ownerChanges / fewestMoves,
                writesPerSecond / runs,
                imbalance);
    }
}
