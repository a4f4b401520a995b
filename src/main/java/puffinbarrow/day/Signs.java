package puffinbarrow.day;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.load.Ended;
import puffinbarrow.load.Result;

/** What the sockets showed while each trouble lasted: the traces by which one would know it. Pure. */
final class Signs {
    /** Traces come after their cause: what a list, a sum and a message take on their ways. */
    private static final long AFTER_NS = 3_000_000_000L;

    private Signs() {}

    static List<String> of(Script script, List<Seen> seen, List<Ended> flows, long beganAt) {
        List<String> all = new ArrayList<>();
        for (Script.Trouble trouble : script.troubles) {
            long from = beganAt + trouble.atNs();
            long to = from + span(script, trouble) + AFTER_NS;
            Map<String, Long> counts = new TreeMap<>();
            for (Seen each : seen) {
                if (each.at() >= from && each.at() < to) {
                    count(each, counts);
                }
            }
            long came = 0;
            for (Ended flow : flows) {
                if (flow.startNs() >= from && flow.startNs() < to) {
                    came++;
                    if (flow.outcome() != Result.Outcome.IN_BUDGET) {
                        add(counts, "flows " + flow.outcome().name().toLowerCase(Locale.ROOT), 1);
                    }
                }
            }
            StringBuilder line = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%5.1f s  %s: %.0f flows/s",
                    trouble.atNs() / 1e9,
                    trouble.text(),
                    came * 1e9 / (to - from)));
            counts.forEach(
                    (name, number) -> line.append(", ").append(name).append(' ').append(number));
            all.add(line.toString());
        }
        return all;
    }

    /** A release lasts as long as its batches; all else says how long. */
    private static long span(Script script, Script.Trouble trouble) {
        if (trouble.kind() != Script.Kind.RELEASE) {
            return trouble.forNs();
        }
        double batches = Math.ceil(trouble.pick().share() / Math.max(0.01, trouble.share()));
        return Math.min(script.lengthNs - trouble.atNs(), (long) (batches * (trouble.forNs() + 2_000_000_000L)));
    }

    private static void count(Seen seen, Map<String, Long> counts) {
        if (seen instanceof Seen.Ended e && !e.good()) {
            add(counts, e.proof() ? "tries turned away" : "tries failed", 1);
        } else if (seen instanceof Seen.Sent s && s.attempt() > 0) {
            add(counts, "tries again", 1);
        } else if (seen instanceof Seen.Stream s) {
            add(counts, s.up() ? "streams joined" : "streams broken", 1);
        } else if (seen instanceof Seen.ChargeTold c) {
            add(counts, c.given() ? "charges given" : "charges taken", 1);
        } else if (seen instanceof Seen.ListTold l) {
            add(counts, "lists told " + l.kind().name().toLowerCase(Locale.ROOT), 1);
            for (Event.Entry entry : l.entries()) {
                if (entry.listed() != Event.Listed.READY) {
                    add(counts, "servers told " + entry.listed().name().toLowerCase(Locale.ROOT), 1);
                }
            }
        } else if (seen instanceof Seen.Started) {
            add(counts, "cold starts", 1);
        } else if (seen instanceof Seen.Applied a && a.proxy() == 0) {
            // Proxy 0 stands for all: each is sent the same.
            for (Order order : a.orders()) {
                if (order instanceof Order.Mask m) {
                    add(counts, m.out() ? "masks" : "masks lifted", 1);
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
