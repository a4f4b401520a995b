package puffinbarrow.day;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import puffinbarrow.audit.Seen;

/** How long slices had no voice after their coordinator was killed or stopped, as the store saw it. Pure. */
final class Silence {
    private Silence() {}

    static String of(Script script, List<Seen> seen, long beganAt) {
        Histogram killed = new Histogram(3);
        Histogram left = new Histogram(3);
        for (Script.Trouble t : script.troubles) {
            Histogram to =
                    t.kind() == Script.Kind.KILL || t.kind() == Script.Kind.FREEZE && t.forNs() > 2 * script.leaseNs
                            ? killed
                            : t.kind() == Script.Kind.LEAVE ? left : null;
            if (to == null) {
                continue;
            }
            Map<Integer, Integer> owner = new HashMap<>();
            for (Seen each : seen) {
                if (!(each instanceof Seen.ChargeTold c) || !c.given()) {
                    continue;
                }
                if (c.at() < beganAt + t.atNs()) {
                    owner.put(c.slice(), c.coordinator());
                } else if (owner.getOrDefault(c.slice(), -1) == t.number()) {
                    to.recordValue((c.at() - beganAt - t.atNs()) / 1_000_000);
                    owner.remove(c.slice());
                }
            }
        }
        return String.format(
                Locale.ROOT,
                "until another spoke, %d slices of killed or stopped coordinators: p50 %.2f s, p99 %.2f s, "
                        + "most %.2f s (a lease is %.2f s); %d of leaving ones: p99 %.2f s%n",
                killed.getTotalCount(),
                killed.getValueAtPercentile(50) / 1e3,
                killed.getValueAtPercentile(99) / 1e3,
                killed.getMaxValue() / 1e3,
                script.leaseNs / 1e9,
                left.getTotalCount(),
                left.getValueAtPercentile(99) / 1e3);
    }
}
