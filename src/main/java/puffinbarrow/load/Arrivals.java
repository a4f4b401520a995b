package puffinbarrow.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws the flows of a scenario in the order of their intended starts, independent of any answers. The same scenario
 * and seed give the same flows on any machine: each kind of draw has its own random stream, and only strict arithmetic
 * is used. No I/O; not thread-safe. Read by the feeder's thread during a run and by the emulator's clients.
 */
public final class Arrivals implements FlowSource {
    private final Scenario scenario;
    private final UniformRandomProvider startRandom;
    private final UniformRandomProvider groupRandom;
    private final UniformRandomProvider keyRandom;
    private final UniformRandomProvider workRandom;
    private final UniformRandomProvider burstRandom;
    private final UniformRandomProvider targetRandom;
    /** Upper ends of the groups' ranges in [0, 1); likewise for slices and targets. */
    private final double[] groupEnds;

    private final double[] sliceEnds;
    private final double[] targetEnds;
    /** Whether all targets have the same weight and are taken in turn. */
    private final boolean evenTargets;
    /** Integral of the Zipf density over all keys. */
    private final double zipfSum;

    private long nextNumber;
    /** Intended start of the flow drawn last, from the run's start. */
    private long startNs;

    private boolean inBurst;
    /** When the current burst or pause ends, from the run's start. */
    private long phaseEndNs;

    public Arrivals(Scenario scenario) {
        this.scenario = scenario;
        this.startRandom = random(1);
        this.groupRandom = random(2);
        this.keyRandom = random(3);
        this.workRandom = random(4);
        this.burstRandom = random(5);
        this.targetRandom = random(6);
        groupEnds = rangeEnds(
                scenario.groups.stream().mapToDouble(Scenario.Group::share).toArray());
        targetEnds = rangeEnds(
                scenario.targetWeights.stream().mapToDouble(Double::doubleValue).toArray());
        evenTargets = scenario.targetWeights.stream().distinct().count() <= 1;
        UniformRandomProvider sizeRandom = random(7);
        double[] sliceWeights = new double[scenario.slices];
        for (int i = 0; i < sliceWeights.length; i++) {
            sliceWeights[i] = scenario.minSliceWeight
                    + (scenario.maxSliceWeight - scenario.minSliceWeight) * sizeRandom.nextDouble();
        }
        sliceEnds = rangeEnds(sliceWeights);
        // Zipf-distributed keys are drawn by inverting the integral of the density: close to exact for many keys, and
        // needs no table.
        zipfSum = integral(scenario.keys + 0.5) - integral(0.5);
        if (scenario.arrivalProcess == Scenario.ArrivalProcess.BURSTS) {
            phaseEndNs = (long) exponential(burstRandom, scenario.meanPauseNs);
        }
    }

    /** Returns the upper ends of the ranges that the weights take of [0, 1). */
    private static double[] rangeEnds(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double[] rangeEnds = new double[weights.length];
        double end = 0;
        for (int i = 0; i < weights.length; i++) {
            end += weights[i] / sum;
            rangeEnds[i] = end;
        }
        return rangeEnds;
    }

    /** Returns the index of the range that a number in [0, 1) falls into. */
    private static int draw(double[] rangeEnds, double random) {
        int low = 0;
        int high = rangeEnds.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (random < rangeEnds[middle]) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Creates one of the scenario's independent random streams. */
    private UniformRandomProvider random(long stream) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 1_000_003 + stream);
    }

    /** Returns the next flow, or null once the scenario's length is over. */
    @Override
    public Flow next() {
        if (scenario.arrivalProcess == Scenario.ArrivalProcess.CONSTANT) {
            // The next start is where the integral of the rate has grown by one, summed in steps of up to 1 ms.
            double remaining = nextNumber == 0 ? 0.5 : 1;
            while (remaining > 0) {
                double perNs = scenario.rateAt(startNs) / 1e9;
                double stepNs = Math.min(1e6, perNs <= 0 ? 1e6 : remaining / perNs);
                remaining -= perNs * stepNs;
                startNs += Math.max(1, StrictMath.round(stepNs));
                if (remaining < 1e-9) {
                    break;
                }
                if (startNs > scenario.lengthNs) {
                    return null;
                }
            }
        } else {
            // Thinning: draws at the highest rate and keeps a draw with the probability of the current rate over the
            // highest.
            double maxRate = scenario.maxRate();
            do {
                startNs += (long) exponential(startRandom, 1e9 / maxRate);
                if (startNs > scenario.lengthNs) {
                    return null;
                }
            } while (startRandom.nextDouble() * maxRate >= scenario.rateAt(startNs) * burstFactor());
        }
        return startNs > scenario.lengthNs ? null : flow();
    }

    /**
     * Returns the current factor of bursts on the rate. Bursts and the pauses between them last for exponentially
     * distributed times (Markov-modulated arrivals).
     */
    private double burstFactor() {
        if (scenario.arrivalProcess != Scenario.ArrivalProcess.BURSTS) {
            return 1;
        }
        while (startNs >= phaseEndNs) {
            inBurst = !inBurst;
            phaseEndNs += (long) exponential(burstRandom, inBurst ? scenario.meanBurstNs : scenario.meanPauseNs);
        }
        return inBurst ? scenario.burstFactor : 1;
    }

    /** Draws the flow that starts at startNs. */
    private Flow flow() {
        int group = draw(groupEnds, groupRandom.nextDouble());
        // Targets of equal weight are taken in turn, as a client goes through its list of addresses.
        int target = !evenTargets
                ? draw(targetEnds, targetRandom.nextDouble())
                : scenario.targets.isEmpty() ? 0 : (int) (nextNumber % scenario.targets.size());
        return new Flow(nextNumber++, startNs, group, target, key(), work(scenario.groups.get(group)), null);
    }

    /** Draws the work of a flow in nanoseconds: log-normal if the group has a spread, else exponential. */
    private long work(Scenario.Group group) {
        if (group.workNs() == 0) {
            return 0;
        }
        double work;
        if (group.workSpread() > 0) {
            double gaussian = StrictMath.sqrt(-2 * StrictMath.log(1 - workRandom.nextDouble()))
                    * StrictMath.cos(2 * Math.PI * workRandom.nextDouble());
            work = group.workNs()
                    * StrictMath.exp(group.workSpread() * gaussian - group.workSpread() * group.workSpread() / 2);
        } else {
            work = exponential(workRandom, group.workNs());
        }
        for (Scenario.HeavyWork period : scenario.heavyWork) {
            if (startNs >= period.atNs()
                    && startNs - period.atNs() < period.durationNs()
                    && workRandom.nextDouble() < period.share()) {
                work *= period.factor();
            }
        }
        return (long) work;
    }

    /** Draws a key: a hot one, one of a slice drawn by its size, or a Zipf-distributed one. */
    private int key() {
        double draw = keyRandom.nextDouble();
        List<Scenario.HotKeys> periods = scenario.hotKeys;
        for (int i = 0; i < periods.size(); i++) {
            Scenario.HotKeys period = periods.get(i);
            if (startNs >= period.atNs() && startNs - period.atNs() < period.durationNs()) {
                if (draw < period.share()) {
                    // Each period has its own hot keys, so that hot keys change over time.
                    long hotKey = i * 7919L + (long) (draw / period.share() * period.keys());
                    return scenario.slices == 0
                            ? (int) (hotKey % scenario.keys)
                            : inSlice((int) (hotKey % scenario.slices));
                }
                draw = (draw - period.share()) / (1 - period.share());
            }
        }
        if (scenario.slices > 0) {
            return inSlice(draw(sliceEnds, draw));
        }
        double x = inverse(integral(0.5) + draw * zipfSum);
        return (int) Math.max(0, Math.min(scenario.keys - 1, StrictMath.round(x) - 1));
    }

    /** Draws one of the keys of a slice. */
    private int inSlice(int slice) {
        return slice * scenario.keysPerSlice + keyRandom.nextInt(scenario.keysPerSlice);
    }

    /** Returns the integral of x^-zipf. */
    private double integral(double x) {
        return scenario.zipf == 1 ? StrictMath.log(x) : StrictMath.pow(x, 1 - scenario.zipf) / (1 - scenario.zipf);
    }

    /** Returns the x whose integral is y. */
    private double inverse(double y) {
        return scenario.zipf == 1
                ? StrictMath.exp(y)
                : StrictMath.pow(y * (1 - scenario.zipf), 1 / (1 - scenario.zipf));
    }

    /** Draws from an exponential distribution with the given mean. */
    private static double exponential(UniformRandomProvider random, double mean) {
        return -StrictMath.log(1 - random.nextDouble()) * mean;
    }
}
