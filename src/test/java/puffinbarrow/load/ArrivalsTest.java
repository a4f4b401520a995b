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

    private static long between(List<Flow> flows, double from, double to) {
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
        double p =
                new KolmogorovSmirnovTest().kolmogorovSmirnovTest(new ExponentialDistribution(null, 1 / 500.0), gaps);
        assertTrue(p > 0.01, "p " + p);
    }

    @Test
    void aThinnedSineIsPoissonInItsOwnTime() {
        List<Flow> flows = flows(GROUP + "rate 400\nlength 20s\nseed 4\nshape sine by 50% every 5s\n");
        double[] gaps = new double[flows.size() - 1];
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] =
                    integral(flows.get(i + 1).startNs()) - integral(flows.get(i).startNs());
        }
        double p = new KolmogorovSmirnovTest().kolmogorovSmirnovTest(new ExponentialDistribution(null, 1), gaps);
        assertTrue(p > 0.01, "p " + p);
    }

    /** Of 400 x (1 + sin(2 pi t / 5) / 2). */
    private static double integral(long ns) {
        double t = ns / 1e9;
        return 400 * (t + 0.5 * 5 / (2 * Math.PI) * (1 - Math.cos(2 * Math.PI * t / 5)));
    }

    @Test
    void constantArrivalsAreEvenlySpacedAndFollowTheShape() {
        List<Flow> flows = flows(GROUP + "arrivals constant\nrate 100\nlength 10s\nshape jump x 1.3 at 5s for 2s\n");
        assertEquals(10_000_000, flows.get(11).startNs() - flows.get(10).startNs(), 2);
        assertEquals(500, between(flows, 0, 5), 1);
        assertEquals(260, between(flows, 5, 7), 1);
        assertEquals(300, between(flows, 7, 10), 1);
    }

    @Test
    void shapesMultiplyAndAMondayPeaksWhereItIsSaidTo() {
        List<Flow> flows = flows(GROUP + "rate 1000\nlength 20s\nseed 5\nshape peak x 3 at 10s width 8s\n"
                + "shape ramp from 0.5 to 1 over 20s\n");
        assertEquals(0.525 * 1000, between(flows, 0, 2) / 2.0, 60);
        assertEquals(2900 * 0.75, between(flows, 9.5, 10.5), 170);
        assertEquals(0.95 * 1000, between(flows, 17, 19) / 2.0, 80);
    }

    @Test
    void burstsRaiseTheRateAndItsVariance() {
        List<Flow> plain = flows(GROUP + "rate 200\nlength 60s\nseed 6\n");
        List<Flow> bursts = flows(GROUP + "rate 200\nlength 60s\nseed 6\narrivals bursts x 5 for 1s every 4s\n");
        assertTrue(spread(bursts) > 10 * spread(plain), spread(bursts) + " against " + spread(plain));
    }

    private static double spread(List<Flow> flows) {
        double mean = flows.size() / 60.0;
        double sum = 0;
        for (int i = 0; i < 60; i++) {
            double off = between(flows, i, i + 1) - mean;
            sum += off * off;
        }
        return sum / 60 / mean;
    }

    @Test
    void theSameSeedGivesTheSameFlowsAndAnotherOthers() {
        String text = GROUP + "rate 300\nlength 5s\nkeys 500 zipf 0.9\narrivals bursts\n";
        assertEquals(flows(text + "seed 7\n"), flows(text + "seed 7\n"));
        assertNotEquals(flows(text + "seed 7\n"), flows(text + "seed 8\n"));
        // Stated, so that another machine or a later version that draws otherwise is noticed.
        assertEquals(
                "Flow[number=99, startNs=362066616, group=0, target=0, key=3, workNs=0, ask=null]",
                flows(text + "seed 7\n").get(99).toString());
    }

    @Test
    void keysFollowZipfAndAFlashCrowdMoves() {
        List<Flow> flows = flows(GROUP + "rate 5000\nlength 10s\nseed 9\nkeys 1000 zipf 0.8\n"
                + "hot 2 keys 40% at 2s for 3s\nhot 1 keys 20% at 6s for 2s\n");
        double one =
                flows.stream().filter(f -> f.startNs() < 2e9 && f.key() == 0).count();
        double ten =
                flows.stream().filter(f -> f.startNs() < 2e9 && f.key() == 9).count();
        assertEquals(Math.pow(10, 0.8), one / ten, 2);
        assertEquals(
                0.4,
                flows.stream()
                                .filter(f -> f.startNs() >= 2e9 && f.startNs() < 5e9 && f.key() < 2)
                                .count()
                        / (double) between(flows, 2, 5),
                0.08);
        long moved = flows.stream()
                .filter(f -> f.startNs() >= 6e9 && f.startNs() < 8e9 && f.key() == 7919 % 1000)
                .count();
        assertEquals(0.2, moved / (double) between(flows, 6, 8), 0.02);
    }

    @Test
    void whatMakesNoSenseIsRefusedWithItsLine() {
        List<Problem> problems = new ArrayList<>();
        Scenario.parse(
                "t",
                "target 10.0.0.1:80\nrate none\nshape peek x 2\ngroup g share 1 utility 1 budget 2s expiry 1s "
                        + "path /\nshape step x 900 at 1s\nrate 1000\n",
                problems);
        List<String> told = problems.stream().map(Problem::toString).toList();
        assertEquals(5, told.size(), told.toString());
        assertTrue(told.get(0).startsWith("t:1: target: found") && told.get(0).contains("loopback"), told.toString());
        assertTrue(told.get(2).contains("did you mean peak?"), told.toString());
        assertTrue(told.get(4).contains("the shapes together reach 1800000 flows a second"), told.toString());
    }
}
