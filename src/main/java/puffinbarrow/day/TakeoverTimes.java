package puffinbarrow.day;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import puffinbarrow.audit.Observation;

/**
 * Measures how long slices had no owner after their coordinator was killed, suspended or made to leave. The times
 * come from the messages that the store sent. {@link Day} calls it once at the end of a day; it has no state and no
 * side effects.
 */
final class TakeoverTimes {
    private TakeoverTimes() {}

    /** @param dayStartNs when the day began, in ns of {@link System#nanoTime} */
    static String summary(Script script, List<Observation> observations, long dayStartNs) {
        Histogram lost = new Histogram(3);
        Histogram left = new Histogram(3);
        for (Script.Fault fault : script.faults) {
            // A suspension shorter than two leases may end before another coordinator takes over.
            Histogram times = fault.kind() == Script.Kind.KILL
                            || fault.kind() == Script.Kind.FREEZE && fault.durationNs() > 2 * script.leaseNs
                    ? lost
                    : fault.kind() == Script.Kind.LEAVE ? left : null;
            if (times == null) {
                continue;
            }
            Map<Integer, Integer> inCharge = new HashMap<>();
            for (Observation event : observations) {
                if (!(event instanceof Observation.ChargeSent charge) || !charge.given()) {
                    continue;
                }
                if (charge.at() < dayStartNs + fault.atNs()) {
                    inCharge.put(charge.slice(), charge.coordinator());
                } else if (inCharge.getOrDefault(charge.slice(), -1) == fault.number()) {
                    times.recordValue((charge.at() - dayStartNs - fault.atNs()) / 1_000_000);
                    inCharge.remove(charge.slice());
                }
            }
        }
        return String.format(
                Locale.ROOT,
                "until another spoke, %d slices of killed or stopped coordinators: p50 %.2f s, p99 %.2f s, "
                        + "most %.2f s (a lease is %.2f s); %d of leaving ones: p99 %.2f s%n",
                lost.getTotalCount(),
                lost.getValueAtPercentile(50) / 1e3,
                lost.getValueAtPercentile(99) / 1e3,
                lost.getMaxValue() / 1e3,
                script.leaseNs / 1e9,
                left.getTotalCount(),
                left.getValueAtPercentile(99) / 1e3);
    }
}
