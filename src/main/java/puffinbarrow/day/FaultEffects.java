package puffinbarrow.day;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.audit.Observation;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.load.FlowEnd;
import puffinbarrow.load.Result;

/**
 * Counts what was seen on the sockets while each fault of a day lasted: the symptoms by which an operator would
 * recognize it. {@link Day} calls it once at the end of a day; it has no state and no side effects.
 */
final class FaultEffects {
    /** Symptoms follow their fault by the delays of a server list, a sum and a message. */
    private static final long SYMPTOM_DELAY_NS = 3_000_000_000L;

    private FaultEffects() {}

    /** Returns a line for each fault of the script, in its order. */
    static List<String> summary(Script script, List<Observation> observations, List<FlowEnd> flows, long dayStartNs) {
        List<String> lines = new ArrayList<>();
        for (Script.Fault fault : script.faults) {
            long from = dayStartNs + fault.atNs();
            long to = from + durationNs(script, fault) + SYMPTOM_DELAY_NS;
            Map<String, Long> counts = new TreeMap<>();
            for (Observation event : observations) {
                if (event.at() >= from && event.at() < to) {
                    count(event, counts);
                }
            }
            long started = 0;
            for (FlowEnd flow : flows) {
                if (flow.startNs() >= from && flow.startNs() < to) {
                    started++;
                    if (flow.outcome() != Result.Outcome.IN_BUDGET) {
                        add(counts, "flows " + flow.outcome().name().toLowerCase(Locale.ROOT), 1);
                    }
                }
            }
            StringBuilder line = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%5.1f s  %s: %.0f flows/s",
                    fault.atNs() / 1e9,
                    fault.text(),
                    started * 1e9 / (to - from)));
            counts.forEach(
                    (name, number) -> line.append(", ").append(name).append(' ').append(number));
            lines.add(line.toString());
        }
        return lines;
    }

    /** Returns how long a fault lasts, in ns; a release lasts as long as its batches take. */
    private static long durationNs(Script script, Script.Fault fault) {
        if (fault.kind() != Script.Kind.RELEASE) {
            return fault.durationNs();
        }
        double batches = Math.ceil(fault.pick().share() / Math.max(0.01, fault.share()));
        return Math.min(script.lengthNs - fault.atNs(), (long) (batches * (fault.durationNs() + 2_000_000_000L)));
    }

    private static void count(Observation event, Map<String, Long> counts) {
        if (event instanceof Observation.AttemptEnded ended && !ended.good()) {
            add(counts, ended.provenNotRun() ? "tries turned away" : "tries failed", 1);
        } else if (event instanceof Observation.AttemptSent sent && sent.attempt() > 0) {
            add(counts, "tries again", 1);
        } else if (event instanceof Observation.StreamChanged stream) {
            add(counts, stream.up() ? "streams joined" : "streams broken", 1);
        } else if (event instanceof Observation.ChargeSent charge) {
            add(counts, charge.given() ? "charges given" : "charges taken", 1);
        } else if (event instanceof Observation.ListSent list) {
            add(counts, "lists told " + list.kind().name().toLowerCase(Locale.ROOT), 1);
            for (Event.Entry entry : list.entries()) {
                if (entry.listed() != Event.Listed.READY) {
                    add(counts, "servers told " + entry.listed().name().toLowerCase(Locale.ROOT), 1);
                }
            }
        } else if (event instanceof Observation.ServerStarted) {
            add(counts, "cold starts", 1);
        } else if (event instanceof Observation.OrdersApplied applied && applied.proxy() == 0) {
            // Counted at proxy 0 only, as each proxy is sent the same orders.
            for (Order order : applied.orders()) {
                if (order instanceof Order.Mask mask) {
                    add(counts, mask.masked() ? "masks" : "masks lifted", 1);
                } else if (order instanceof Order.SetLine) {
                    add(counts, "lines", 1);
                }
            }
        }
    }

    private static void add(Map<String, Long> counts, String name, long by) {
        counts.merge(name, by, Long::sum);
    }
}
