package puffinbarrow.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.load.Engine;
import puffinbarrow.load.FlowSource;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.standin.DelayedServer;

/** Compares the load generator's figures with the known delays of stand-in targets. */
@Command(
        name = "load-accuracy",
        mixinStandardHelpOptions = true,
        description = "Compares reported percentiles with injected delays, shows a stalled target and a busy host.")
final class LoadAccuracyBench implements Callable<Integer> {
    @Option(names = "--seeds", paramLabel = "N", description = "runs of each kind (${DEFAULT-VALUE})")
    private int seeds = 10;

    private static final double[] QUANTILES = {50, 90, 99, 99.9};

    /** Largest relative error of a percentile. */
    private static final double MAX_ERROR = 0.03;

    private static Scenario scenario(DelayedServer target, long seed, String more) {
        return LoadBenches.scenario(target.address().getPort(), "seed " + seed + "\n" + more);
    }

    /** Starts a stand-in target; {@code delay} maps a uniform random number to a delay in ns. */
    private static DelayedServer target(DoubleUnaryOperator delay, long seed) throws Exception {
        return new DelayedServer(delay, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    @Override
    public Integer call() throws Exception {
        // Warm-up run: just-in-time compilation would distort the first measured one.
        try (DelayedServer target = target(u -> 2e6, 99);
                Engine engine = new Engine(scenario(target, 99, "rate 2000\nlength 4s\n"))) {
            engine.run(null);
        }
        Map<String, DoubleUnaryOperator> kinds = new LinkedHashMap<>();
        kinds.put("constant 20 ms", u -> 20e6);
        kinds.put("uniform 10 to 50 ms", u -> 10e6 + 40e6 * u);
        kinds.put("exponential, mean 30 ms", u -> -Math.log(1 - u) * 30e6);
        kinds.put("bimodal 10 and 200 ms (5%)", u -> u < 0.95 ? 10e6 : 200e6);
        boolean allWithin = true;
        for (Map.Entry<String, DoubleUnaryOperator> kind : kinds.entrySet()) {
            double[] worst = new double[QUANTILES.length];
            double[][] errors = new double[QUANTILES.length][seeds];
            Histogram sendLag = new Histogram(60_000_000, 3);
            for (int seed = 0; seed < seeds; seed++) {
                try (DelayedServer target = target(kind.getValue(), seed);
                        Engine engine = new Engine(scenario(target, seed, "rate 1000\nlength 5s\n"))) {
                    Result result = engine.run(null);
                    sendLag.add(result.sendLag);
                    for (int i = 0; i < worst.length; i++) {
                        double reported = result.all.latency.getValueAtPercentile(QUANTILES[i]);
                        double injected = target.delays().getValueAtPercentile(QUANTILES[i]);
                        errors[i][seed] = Math.abs(reported - injected) / injected;
                        worst[i] = Math.max(worst[i], errors[i][seed]);
                    }
                }
            }
            StringBuilder line = new StringBuilder(String.format("%-28s", kind.getKey()));
            for (int i = 0; i < worst.length; i++) {
                Arrays.sort(errors[i]);
                line.append(String.format(
                        Locale.ROOT,
                        " p%s off by %.2f%% (%.2f%%)",
                        QUANTILES[i],
                        100 * errors[i][seeds / 2],
                        100 * worst[i]));
                allWithin &= worst[i] < MAX_ERROR;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%s median (worst) of %d seeds; senders late by p90 %.2f ms, p99 %.2f ms%n",
                    line,
                    seeds,
                    sendLag.getValueAtPercentile(90) / 1e3,
                    sendLag.getValueAtPercentile(99) / 1e3);
        }
        measureStall();
        measureBusyHost();
        System.out.println(allWithin ? "all percentiles within 3%" : "NOT all percentiles within 3%");
        return allWithin ? Commands.OK : Commands.FAILED;
    }

    /** A rate counts as offered if 99% of flows are sent within this time of their intended start, in us. */
    private static final long MAX_SEND_DELAY_US = 5_000;

    /**
     * Measures the rate that this host can offer: draws flows without sending, then sends to a stand-in in this process
     * at rising rates, which gives a lower bound. Returns the exit code.
     */
    static int dry(Scenario scenario) throws IOException {
        long drawn = 0;
        long began = System.nanoTime();
        try (FlowSource source = Engine.openSource(scenario)) {
            while (System.nanoTime() - began < 1_000_000_000L && source.next() != null) {
                drawn++;
            }
        }
        System.out.printf(Locale.ROOT, "drawing alone: %.0f flows/s%n", drawn * 1e9 / (System.nanoTime() - began));
        double highestOffered = 0;
        double lowestRefused = 0;
        // Doubles the rate until it fails, then bisects four times: accurate to a sixteenth.
        for (int step = 0, bisections = 0; step < 14 && bisections < 4; step++) {
            double rate =
                    lowestRefused == 0 ? Math.max(1000, 2 * highestOffered) : (highestOffered + lowestRefused) / 2;
            bisections += lowestRefused == 0 ? 0 : 1;
            Result result;
            try (DelayedServer target = new DelayedServer(u -> 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
                    Engine engine = new Engine(scenario.withConstantRate(rate, 2_000_000_000L, target.address()))) {
                result = engine.run(null);
            }
            boolean offered = result.sendLag.getValueAtPercentile(99) < MAX_SEND_DELAY_US
                    && result.all.count(Result.Outcome.IN_BUDGET) >= 0.99 * result.intended;
            System.out.printf(
                    Locale.ROOT,
                    "%8.0f flows/s: senders late by p99 %.2f ms, %d of %d answered in budget%s%n",
                    rate,
                    result.sendLag.getValueAtPercentile(99) / 1e3,
                    result.all.count(Result.Outcome.IN_BUDGET),
                    result.intended,
                    offered ? "" : "  not offered");
            highestOffered = offered ? rate : highestOffered;
            lowestRefused = offered ? lowestRefused : rate;
        }
        System.out.printf(
                Locale.ROOT,
                "this host offers %.0f flows/s with %d senders, the answering stand-in in the same "
                        + "process; the scenario asks for %.0f at most%n",
                highestOffered,
                scenario.senders,
                scenario.maxRate());
        return highestOffered >= scenario.maxRate() ? Commands.OK : Commands.FAILED;
    }

    /** Prints percentiles of a target that stalls for 2 s at a constant rate, beside the calculated ones. */
    private static void measureStall() throws Exception {
        try (DelayedServer target = target(u -> 2e6, 1);
                Engine engine = new Engine(
                        scenario(target, 1, "rate 1000\nlength 10s\narrivals constant\n" + "connections 50\n"))) {
            Thread stallThread = new Thread(() -> {
                try {
                    TimeUnit.SECONDS.sleep(3);
                } catch (InterruptedException e) {
                    return;
                }
                target.stall(2_000_000_000L);
            });
            stallThread.start();
            Result result = engine.run(null);
            // A flow meant to start x before the stall's end waits x. Of 10 s of flows, those of 2 s wait evenly
            // distributed
            // times of 0 to 2 s, so the share above t is (2 - t) / 10.
            for (double quantile : new double[] {85, 90, 95, 99}) {
                double expectedMs = 2000 - (100 - quantile) / 100 * 10_000;
                System.out.printf(
                        Locale.ROOT,
                        "stall of 2 s, p%.0f: reported %.0f ms, by arithmetic %.0f ms; a closed loop "
                                + "would show %.0f ms%n",
                        quantile,
                        result.all.latency.getValueAtPercentile(quantile) / 1e3,
                        expectedMs,
                        result.all.service.getValueAtPercentile(quantile) / 1e3);
            }
        }
    }

    /** Runs on a quiet host and with threads that keep every core busy; the second run must be marked as disturbed. */
    private static void measureBusyHost() throws Exception {
        for (boolean burn : new boolean[] {false, true}) {
            List<Thread> burners = new ArrayList<>();
            for (int i = 0; burn && i < 4 * Runtime.getRuntime().availableProcessors(); i++) {
                Thread thread = new Thread(() -> {
                    double x = 1;
                    while (!Thread.currentThread().isInterrupted()) {
                        x = Math.sin(x) + 1;
                    }
                });
                thread.setDaemon(true);
                thread.start();
                burners.add(thread);
            }
            try (DelayedServer target = target(u -> 2e6, 1);
                    Engine engine = new Engine(scenario(target, 1, "rate 1000\nlength 5s\n"))) {
                Result result = engine.run(null);
                Histogram wakeUpDelays = result.wakeUpLateness;
                System.out.printf(
                        Locale.ROOT,
                        "%s host: p99 %.1f ms, its own wake-ups late by p99 %.1f ms, busy seconds %s%n",
                        burn ? "burning" : "quiet",
                        result.all.latency.getValueAtPercentile(99) / 1e3,
                        wakeUpDelays.getValueAtPercentile(99) / 1e3,
                        result.hostBusySeconds());
            } finally {
                burners.forEach(Thread::interrupt);
            }
        }
    }
}
