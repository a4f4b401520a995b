package puffinbarrow.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.stat.inference.KolmogorovSmirnovTest;
import org.junit.jupiter.api.Test;
import puffinbarrow.config.Problem;

/** Tests the drawn arrivals: distributions, shapes of the rate, reproducibility and scenario errors. */
class ArrivalsTest {
    private static final String GROUP = "group g share 1 utility 1 budget 1s expiry 2s path /\n";

    private static Scenario scenario(String text) {
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse("t", text, problems);
        assertEquals(List.of(), problems);
        return scenario;
    }

    private static List<Flow> flows(String text) {
        Arrivals arrivals = new Arrivals(scenario(text));
        List<Flow> flows = new ArrayList<>();
        for (Flow flow = arrivals.next(); flow != null; flow = arrivals.next()) {
            flows.add(flow);
        }
        return flows;
    }

    /** Returns the number of flows that start between two times in seconds. */
    private static long countBetween(List<Flow> flows, double from, double to) {
        return flows.stream()
                .filter(f -> f.startNs() >= from * 1e9 && f.startNs() < to * 1e9)
                .count();
    }

    @Test
    void poissonGapsAreExponential() {
        List<Flow> flows = flows(GROUP + "rate 500\nlength 20s\nseed 3\n");
        double[] gaps = new double[flows.size() - 1];
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] = (flows.get(i + 1).startNs() - flows.get(i).startNs()) / 1e9;
        }
        double pValue =
                new KolmogorovSmirnovTest().kolmogorovSmirnovTest(new ExponentialDistribution(null, 1 / 500.0), gaps);
        assertTrue(pValue > 0.01, "p " + pValue);
    }

    @Test
    void sineArrivalsArePoissonInRateTime() {
        List<Flow> flows = flows(GROUP + "rate 400\nlength 20s\nseed 4\nshape sine by 50% every 5s\n");
        double[] gaps = new double[flows.size() - 1];
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] = integratedRate(flows.get(i + 1).startNs())
                    - integratedRate(flows.get(i).startNs());
        }
        double pValue = new KolmogorovSmirnovTest().kolmogorovSmirnovTest(new ExponentialDistribution(null, 1), gaps);
        assertTrue(pValue > 0.01, "p " + pValue);
    }

    /** Returns the integral of the rate 400 * (1 + sin(2 pi t / 5) / 2). */
    private static double integratedRate(long ns) {
        double t = ns / 1e9;
        return 400 * (t + 0.5 * 5 / (2 * Math.PI) * (1 - Math.cos(2 * Math.PI * t / 5)));
    }

    @Test
    void constantArrivalsAreEvenlySpacedAndFollowTheShape() {
        List<Flow> flows = flows(GROUP + "arrivals constant\nrate 100\nlength 10s\nshape jump x 1.3 at 5s for 2s\n");
        assertEquals(10_000_000, flows.get(11).startNs() - flows.get(10).startNs(), 2);
        assertEquals(500, countBetween(flows, 0, 5), 1);
        assertEquals(260, countBetween(flows, 5, 7), 1);
        assertEquals(300, countBetween(flows, 7, 10), 1);
    }

    @Test
    void shapesMultiplyAndPeakAtTheGivenTime() {
        List<Flow> flows = flows(GROUP + "rate 1000\nlength 20s\nseed 5\nshape peak x 3 at 10s width 8s\n"
                + "shape ramp from 0.5 to 1 over 20s\n");
        assertEquals(0.525 * 1000, countBetween(flows, 0, 2) / 2.0, 60);
        assertEquals(2900 * 0.75, countBetween(flows, 9.5, 10.5), 170);
        assertEquals(0.95 * 1000, countBetween(flows, 17, 19) / 2.0, 80);
    }

    @Test
    void burstsRaiseTheRateAndItsVariance() {
        List<Flow> poisson = flows(GROUP + "rate 200\nlength 60s\nseed 6\n");
        List<Flow> bursts = flows(GROUP + "rate 200\nlength 60s\nseed 6\narrivals bursts x 5 for 1s every 4s\n");
        assertTrue(
                dispersion(bursts) > 10 * dispersion(poisson), dispersion(bursts) + " against " + dispersion(poisson));
    }

    /** Returns the variance of the flows per second over their mean, which is 1 for Poisson arrivals. */
    private static double dispersion(List<Flow> flows) {
        double mean = flows.size() / 60.0;
        double sum = 0;
        for (int i = 0; i < 60; i++) {
            double deviation = countBetween(flows, i, i + 1) - mean;
            sum += deviation * deviation;
        }
        return sum / 60 / mean;
    }

    @Test
    void sameSeedGivesSameFlowsAndOtherSeedOthers() {
        String text = GROUP + "rate 300\nlength 5s\nkeys 500 zipf 0.9\narrivals bursts\n";
        assertEquals(flows(text + "seed 7\n"), flows(text + "seed 7\n"));
        assertNotEquals(flows(text + "seed 7\n"), flows(text + "seed 8\n"));
        // A fixed value, so that a machine or version that draws differently is noticed.
        assertEquals(
                "Flow[number=99, startNs=362066616, group=0, target=0, key=3, workNs=0, request=null]",
                flows(text + "seed 7\n").get(99).toString());
    }

    @Test
    void keysFollowZipfAndHotKeysChange() {
        List<Flow> flows = flows(GROUP + "rate 5000\nlength 10s\nseed 9\nkeys 1000 zipf 0.8\n"
                + "hot 2 keys 40% at 2s for 3s\nhot 1 keys 20% at 6s for 2s\n");
        double firstKey =
                flows.stream().filter(f -> f.startNs() < 2e9 && f.key() == 0).count();
        double tenthKey =
                flows.stream().filter(f -> f.startNs() < 2e9 && f.key() == 9).count();
        assertEquals(Math.pow(10, 0.8), firstKey / tenthKey, 2);
        assertEquals(
                0.4,
                flows.stream()
                                .filter(f -> f.startNs() >= 2e9 && f.startNs() < 5e9 && f.key() < 2)
                                .count()
                        / (double) countBetween(flows, 2, 5),
                0.08);
        long laterHotKey = flows.stream()
                .filter(f -> f.startNs() >= 6e9 && f.startNs() < 8e9 && f.key() == 7919 % 1000)
                .count();
        assertEquals(0.2, laterHotKey / (double) countBetween(flows, 6, 8), 0.02);
    }

    @Test
    void scenarioErrorsAreReportedWithTheirLine() {
        List<Problem> problems = new ArrayList<>();
        Scenario.parse(
                "t",
                "target 10.0.0.1:80\nrate none\nshape peek x 2\ngroup g share 1 utility 1 budget 2s expiry 1s "
                        + "path /\nshape step x 900 at 1s\nrate 1000\n",
                problems);
        List<String> messages = problems.stream().map(Problem::toString).toList();
        assertEquals(5, messages.size(), messages.toString());
        assertTrue(
                messages.get(0).startsWith("t:1: target: found")
                        && messages.get(0).contains("loopback"),
                messages.toString());
        assertTrue(messages.get(2).contains("did you mean peak?"), messages.toString());
        assertTrue(messages.get(4).contains("the shapes together reach 1800000 flows a second"), messages.toString());
    }
}
