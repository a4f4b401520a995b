package puffinbarrow.cli;

import java.io.IOException;
import java.util.ArrayList;
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
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.load.Source;
import puffinbarrow.standin.Delays;

/** How true the load generator's figures are, against stand-ins whose delays are known. */
@Command(
        name = "load-accuracy",
        mixinStandardHelpOptions = true,
        description = "Reported percentiles against injected delays, a stall against its arithmetic, a busy host.")
final class LoadBench implements Callable<Integer> {
    @Option(names = "--seeds", paramLabel = "N", description = "runs of each kind (${DEFAULT-VALUE})")
    private int seeds = 10;

    private static final double[] QUANTILES = {50, 90, 99, 99.9};
    /** What the users ask: within a few percent. */
    private static final double WITHIN = 0.03;

    private static Scenario scenario(Delays target, long seed, String more) {
        return LoadMeasures.scenario(target.address().getPort(), "seed " + seed + "\n" + more);
    }

    private static Delays target(DoubleUnaryOperator delay, long seed) throws Exception {
        return new Delays(delay, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    @Override
    public Integer call() throws Exception {
        // Once unmeasured: a program just started is compiled while it runs, which no long run would show.
        try (Delays target = target(u -> 2e6, 99);
                Engine engine = new Engine(scenario(target, 99, "rate 2000\nlength 4s\n"))) {
            engine.run(null);
        }
        Map<String, DoubleUnaryOperator> kinds = new LinkedHashMap<>();
        kinds.put("constant 20 ms", u -> 20e6);
        kinds.put("uniform 10 to 50 ms", u -> 10e6 + 40e6 * u);
        kinds.put("exponential, mean 30 ms", u -> -Math.log(1 - u) * 30e6);
        kinds.put("bimodal 10 and 200 ms (5%)", u -> u < 0.95 ? 10e6 : 200e6);
        boolean within = true;
        for (Map.Entry<String, DoubleUnaryOperator> kind : kinds.entrySet()) {
            double[] worst = new double[QUANTILES.length];
            double[][] off = new double[QUANTILES.length][seeds];
            Histogram lag = new Histogram(60_000_000, 3);
            for (int seed = 0; seed < seeds; seed++) {
                try (Delays target = target(kind.getValue(), seed);
                        Engine engine = new Engine(scenario(target, seed, "rate 1000\nlength 5s\n"))) {
                    Result result = engine.run(null);
                    lag.add(result.lag);
                    for (int i = 0; i < worst.length; i++) {
                        double told = result.all.latency.getValueAtPercentile(QUANTILES[i]);
                        double injected = target.given().getValueAtPercentile(QUANTILES[i]);
                        off[i][seed] = Math.abs(told - injected) / injected;
                        worst[i] = Math.max(worst[i], off[i][seed]);
                    }
                }
            }
            StringBuilder line = new StringBuilder(String.format("%-28s", kind.getKey()));
            for (int i = 0; i < worst.length; i++) {
                java.util.Arrays.sort(off[i]);
                line.append(String.format(
                        Locale.ROOT,
                        " p%s off by %.2f%% (%.2f%%)",
                        QUANTILES[i],
                        100 * off[i][seeds / 2],
                        100 * worst[i]));
                within &= worst[i] < WITHIN;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%s median (worst) of %d seeds; senders late by p90 %.2f ms, p99 %.2f ms%n",
                    line,
                    seeds,
                    lag.getValueAtPercentile(90) / 1e3,
                    lag.getValueAtPercentile(99) / 1e3);
        }
        stall();
        busy();
        System.out.println(within ? "all percentiles within 3%" : "NOT all percentiles within 3%");
        return within ? Commands.FINE : Commands.FAILED;
    }

    /** Below this a rate is offered: all but a hundredth of flows leave within it of their start. */
    private static final long OFFERED_LATE_US = 5_000;

    /** Draws without sending, then sends to a stand-in in this very process at rising rates: a lower bound. */
    static int dry(Scenario scenario) throws IOException {
        long drawn = 0;
        long began = System.nanoTime();
        try (Source source = Engine.source(scenario)) {
            while (System.nanoTime() - began < 1_000_000_000L && source.next() != null) {
                drawn++;
            }
        }
        System.out.printf(Locale.ROOT, "drawing alone: %.0f flows/s%n", drawn * 1e9 / (System.nanoTime() - began));
        double good = 0;
        double bad = 0;
        // Doubled until it fails, then halved four times between: within a sixteenth.
        for (int step = 0, halved = 0; step < 14 && halved < 4; step++) {
            double rate = bad == 0 ? Math.max(1000, 2 * good) : (good + bad) / 2;
            halved += bad == 0 ? 0 : 1;
            Result result;
            try (Delays target = new Delays(u -> 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
                    Engine engine = new Engine(scenario.flat(rate, 2_000_000_000L, target.address()))) {
                result = engine.run(null);
            }
            boolean offered = result.lag.getValueAtPercentile(99) < OFFERED_LATE_US
                    && result.all.count(Result.Outcome.IN_BUDGET) >= 0.99 * result.intended;
            System.out.printf(
                    Locale.ROOT,
                    "%8.0f flows/s: senders late by p99 %.2f ms, %d of %d answered in budget%s%n",
                    rate,
                    result.lag.getValueAtPercentile(99) / 1e3,
                    result.all.count(Result.Outcome.IN_BUDGET),
                    result.intended,
                    offered ? "" : "  not offered");
            good = offered ? rate : good;
            bad = offered ? bad : rate;
        }
        System.out.printf(
                Locale.ROOT,
                "this host offers %.0f flows/s with %d senders, the answering stand-in in the same "
                        + "process; the scenario asks for %.0f at most%n",
                good,
                scenario.senders,
                scenario.mostRate());
        return good >= scenario.mostRate() ? Commands.FINE : Commands.FAILED;
    }

    /** A stall of 2 s at a constant rate: a flow meant to start x before its end waits x. */
    private static void stall() throws Exception {
        try (Delays target = target(u -> 2e6, 1);
                Engine engine = new Engine(
                        scenario(target, 1, "rate 1000\nlength 10s\narrivals constant\n" + "connections 50\n"))) {
            Thread still = new Thread(() -> {
                try {
                    TimeUnit.SECONDS.sleep(3);
                } catch (InterruptedException stop) {
                    return;
                }
                target.standStill(2_000_000_000L);
            });
            still.start();
            Result result = engine.run(null);
            // 2 s of 10 s of flows wait evenly between 0 and 2 s: the share above t is (2 - t) / 10.
            for (double quantile : new double[] {85, 90, 95, 99}) {
                double arithmetic = 2000 - (100 - quantile) / 100 * 10_000;
                System.out.printf(
                        Locale.ROOT,
                        "stall of 2 s, p%.0f: reported %.0f ms, by arithmetic %.0f ms; a closed loop "
                                + "would show %.0f ms%n",
                        quantile,
                        result.all.latency.getValueAtPercentile(quantile) / 1e3,
                        arithmetic,
                        result.all.service.getValueAtPercentile(quantile) / 1e3);
            }
        }
    }

    /** The same target while burners take every core: the run must be marked. */
    private static void busy() throws Exception {
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
            try (Delays target = target(u -> 2e6, 1);
                    Engine engine = new Engine(scenario(target, 1, "rate 1000\nlength 5s\n"))) {
                Result result = engine.run(null);
                Histogram own = result.hiccups;
                System.out.printf(
                        Locale.ROOT,
                        "%s host: p99 %.1f ms, its own wake-ups late by p99 %.1f ms, busy seconds %s%n",
                        burn ? "burning" : "quiet",
                        result.all.latency.getValueAtPercentile(99) / 1e3,
                        own.getValueAtPercentile(99) / 1e3,
                        result.hostBusy());
            } finally {
                burners.forEach(Thread::interrupt);
            }
        }
    }
}
