package puffinbarrow.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The flows of a scenario in the order of their intended starts, drawn ahead and never waiting for answers. The same
 * scenario and seed give the same flows on any machine: each kind of draw has a stream of chance of its own, and only
 * strict arithmetic is used. Pure; one thread.
 */
public final class Arrivals {
    /** One flow: when it is meant to start (from the run's start), its group, key, and work asked of stand-ins. */
    public record Flow(long number, long startNs, int group, int key, long workNs) {}

    private final Scenario scenario;
    private final UniformRandomProvider times, kinds, keyDraws, works, bursts;
    private final double[] groupEnds;
    private final double zipfSum;
    private long number;
    private long at;
    private boolean inBurst;
    private long phaseEnds;

    public Arrivals(Scenario scenario) {
        this.scenario = scenario;
        this.times = source(1);
        this.kinds = source(2);
        this.keyDraws = source(3);
        this.works = source(4);
        this.bursts = source(5);
        double sum = scenario.groups.stream().mapToDouble(Scenario.Group::share).sum();
        groupEnds = new double[scenario.groups.size()];
        double end = 0;
        for (int i = 0; i < groupEnds.length; i++) {
            end += scenario.groups.get(i).share() / sum;
            groupEnds[i] = end;
        }
        // Zipf by the inverse of its integral, which is close for many keys and costs no table.
        zipfSum = integral(scenario.keys + 0.5) - integral(0.5);
        if (scenario.process == Scenario.Process.BURSTS) {
            phaseEnds = (long) exponential(bursts, scenario.burstEveryNs);
        }
    }

    private UniformRandomProvider source(long part) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 1_000_003 + part);
    }

    /** The next flow, or null once the scenario's length is over. */
    public Flow next() {
        if (scenario.process == Scenario.Process.CONSTANT) {
            // The next start is where the rate's integral has grown by one; a millisecond is a fine enough step.
            double need = number == 0 ? 0.5 : 1;
            while (need > 0) {
                double perNs = scenario.rateAt(at) / 1e9;
                double step = Math.min(1e6, perNs <= 0 ? 1e6 : need / perNs);
                need -= perNs * step;
                at += Math.max(1, StrictMath.round(step));
                if (need < 1e-9) {
                    break;
                }
                if (at > scenario.lengthNs) {
                    return null;
                }
            }
        } else {
            // Thinning: drawn at the highest rate, kept by the part that the present rate is of it.
            double most = scenario.mostRate();
            do {
                at += (long) exponential(times, 1e9 / most);
                if (at > scenario.lengthNs) {
                    return null;
                }
            } while (times.nextDouble() * most >= scenario.rateAt(at) * burst());
        }
        return at > scenario.lengthNs ? null : flow();
    }

    /** Two states that last exponentially long: Markov-modulated arrivals. */
    private double burst() {
        if (scenario.process != Scenario.Process.BURSTS) {
            return 1;
        }
        while (at >= phaseEnds) {
            inBurst = !inBurst;
            phaseEnds += (long) exponential(bursts, inBurst ? scenario.burstForNs : scenario.burstEveryNs);
        }
        return inBurst ? scenario.burstFactor : 1;
    }

    private Flow flow() {
        double draw = kinds.nextDouble();
        int group = 0;
        while (group < groupEnds.length - 1 && draw >= groupEnds[group]) {
            group++;
        }
        long mean = scenario.groups.get(group).workNs();
        return new Flow(number++, at, group, key(), mean == 0 ? 0 : (long) exponential(works, mean));
    }

    private int key() {
        double draw = keyDraws.nextDouble();
        List<Scenario.Hot> hot = scenario.hot;
        for (int i = 0; i < hot.size(); i++) {
            Scenario.Hot h = hot.get(i);
            if (at >= h.atNs() && at - h.atNs() < h.forNs()) {
                if (draw < h.share()) {
                    // Each crowd is on keys of its own, so that hot keys move.
                    return (int) ((i * 7919L + (long) (draw / h.share() * h.keys())) % scenario.keys);
                }
                draw = (draw - h.share()) / (1 - h.share());
            }
        }
        double x = inverse(integral(0.5) + draw * zipfSum);
        return (int) Math.max(0, Math.min(scenario.keys - 1, StrictMath.round(x) - 1));
    }

    private double integral(double x) {
        return scenario.zipf == 1 ? StrictMath.log(x) : StrictMath.pow(x, 1 - scenario.zipf) / (1 - scenario.zipf);
    }

    private double inverse(double y) {
        return scenario.zipf == 1 ? StrictMath.exp(y) : StrictMath.pow(y * (1 - scenario.zipf), 1 / (1 - scenario.zipf));
    }

    private static double exponential(UniformRandomProvider from, double mean) {
        return -StrictMath.log(1 - from.nextDouble()) * mean;
    }
}
