package puffinbarrow.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The flows of a scenario in the order of their intended starts, drawn ahead and never waiting for answers. The same
 * scenario and seed give the same flows on any machine: each kind of draw has a stream of chance of its own, and only
 * strict arithmetic is used. Pure; one thread.
 */
public final class Arrivals implements Source {
    private final Scenario scenario;
    private final UniformRandomProvider times, kinds, keyDraws, works, bursts, ways;
    private final double[] groupEnds;
    private final double[] sliceEnds;
    private final double[] targetEnds;
    private final boolean evenTargets;
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
        this.ways = source(6);
        groupEnds =
                ends(scenario.groups.stream().mapToDouble(Scenario.Group::share).toArray());
        targetEnds = ends(
                scenario.targetParts.stream().mapToDouble(Double::doubleValue).toArray());
        evenTargets = scenario.targetParts.stream().distinct().count() <= 1;
        UniformRandomProvider sizes = source(7);
        double[] slices = new double[scenario.slices];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = scenario.sliceLow + (scenario.sliceHigh - scenario.sliceLow) * sizes.nextDouble();
        }
        sliceEnds = ends(slices);
        // Zipf by the inverse of its integral, which is close for many keys and costs no table.
        zipfSum = integral(scenario.keys + 0.5) - integral(0.5);
        if (scenario.process == Scenario.Process.BURSTS) {
            phaseEnds = (long) exponential(bursts, scenario.burstEveryNs);
        }
    }

    /** Where each part's stretch of [0, 1) ends. */
    private static double[] ends(double[] parts) {
        double sum = 0;
        for (double part : parts) {
            sum += part;
        }
        double[] ends = new double[parts.length];
        double end = 0;
        for (int i = 0; i < parts.length; i++) {
            end += parts[i] / sum;
            ends[i] = end;
        }
        return ends;
    }

    private static int draw(double[] ends, double at) {
        int low = 0;
        int high = ends.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (at < ends[middle]) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private UniformRandomProvider source(long part) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 1_000_003 + part);
    }

    /** The next flow, or null once the scenario's length is over. */
    @Override
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
        int group = draw(groupEnds, kinds.nextDouble());
        // Targets of the same weight are taken in turn, as a client's list of addresses is.
        int target = !evenTargets
                ? draw(targetEnds, ways.nextDouble())
                : scenario.targets.isEmpty() ? 0 : (int) (number % scenario.targets.size());
        return new Flow(number++, at, group, target, key(), work(scenario.groups.get(group)), null);
    }

    private long work(Scenario.Group group) {
        if (group.workNs() == 0) {
            return 0;
        }
        double work;
        if (group.workSpread() > 0) {
            double gauss = StrictMath.sqrt(-2 * StrictMath.log(1 - works.nextDouble()))
                    * StrictMath.cos(2 * Math.PI * works.nextDouble());
            work = group.workNs()
                    * StrictMath.exp(group.workSpread() * gauss - group.workSpread() * group.workSpread() / 2);
        } else {
            work = exponential(works, group.workNs());
        }
        for (Scenario.Heavy heavy : scenario.heavy) {
            if (at >= heavy.atNs() && at - heavy.atNs() < heavy.forNs() && works.nextDouble() < heavy.share()) {
                work *= heavy.factor();
            }
        }
        return (long) work;
    }

    private int key() {
        double draw = keyDraws.nextDouble();
        List<Scenario.Hot> hot = scenario.hot;
        for (int i = 0; i < hot.size(); i++) {
            Scenario.Hot h = hot.get(i);
            if (at >= h.atNs() && at - h.atNs() < h.forNs()) {
                if (draw < h.share()) {
                    // Each crowd is on keys of its own, so that hot keys move.
                    long hotKey = i * 7919L + (long) (draw / h.share() * h.keys());
                    return scenario.slices == 0
                            ? (int) (hotKey % scenario.keys)
                            : inSlice((int) (hotKey % scenario.slices));
                }
                draw = (draw - h.share()) / (1 - h.share());
            }
        }
        if (scenario.slices > 0) {
            return inSlice(draw(sliceEnds, draw));
        }
        double x = inverse(integral(0.5) + draw * zipfSum);
        return (int) Math.max(0, Math.min(scenario.keys - 1, StrictMath.round(x) - 1));
    }

    private int inSlice(int slice) {
        return slice * scenario.keysEach + keyDraws.nextInt(scenario.keysEach);
    }

    private double integral(double x) {
        return scenario.zipf == 1 ? StrictMath.log(x) : StrictMath.pow(x, 1 - scenario.zipf) / (1 - scenario.zipf);
    }

    private double inverse(double y) {
        return scenario.zipf == 1
                ? StrictMath.exp(y)
                : StrictMath.pow(y * (1 - scenario.zipf), 1 / (1 - scenario.zipf));
    }

    private static double exponential(UniformRandomProvider from, double mean) {
        return -StrictMath.log(1 - from.nextDouble()) * mean;
    }
}
