package puffinbarrow.coordinator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** Counters and gauges by name, for any thread; printed by the admin listener. */
public final class Meters {
    private final MeterRegistry registry;
    private final DistributionSummary turnMicros;

    /** Creates meters in a registry of their own. */
    public Meters() {
        this(new SimpleMeterRegistry());
    }

    /** Creates meters in the given registry. */
    public Meters(MeterRegistry registry) {
        this.registry = registry;
        this.turnMicros = DistributionSummary.builder("turn.us")
                .publishPercentiles(0.5, 0.99)
                .register(registry);
    }

    void count(String name) {
        add(name, 1);
    }

    void add(String name, double by) {
        Counter.builder(name).register(registry).increment(by);
    }

    /** Counts with a cause as label, such as {@code frames.refused{cause=checksum}}. */
    void countCause(String name, Enum<?> cause) {
        Counter.builder(name)
                .tag("cause", cause.name().toLowerCase(Locale.ROOT))
                .register(registry)
                .increment();
    }

    <T> void gauge(String name, T of, ToDoubleFunction<T> value) {
        Gauge.builder(name, of, value).register(registry);
    }

    /** Records the duration of a decision turn. */
    void turn(long ns) {
        turnMicros.record(ns / 1e3);
    }

    /** Returns the registry that holds the meters. */
    public MeterRegistry registry() {
        return registry;
    }

    /** Returns all values, sorted by name; a distribution summary has its count, total and maximum. */
    public Map<String, Double> values() {
        Map<String, Double> values = new TreeMap<>();
        for (Meter meter : registry.getMeters()) {
            StringBuilder name = new StringBuilder(meter.getId().getName());
            for (Tag tag : meter.getId().getTags()) {
                name.append('{')
                        .append(tag.getKey())
                        .append('=')
                        .append(tag.getValue())
                        .append('}');
            }
            int count = 0;
            for (Measurement each : meter.measure()) {
                count++;
                boolean plain = meter.getId().getType() != Meter.Type.DISTRIBUTION_SUMMARY;
                values.put(
                        plain
                                ? name.toString()
                                : name + "." + each.getStatistic().getTagValueRepresentation(),
                        each.getValue());
            }
        }
        return values;
    }
}
