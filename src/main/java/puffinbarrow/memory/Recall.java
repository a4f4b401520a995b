package puffinbarrow.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import puffinbarrow.control.Event;

/**
 * What remembered facts are still worth: for each kind a half-life, and for each fact a confidence by its age. The
 * present list wins over memory at once. Pure: facts, list and time in; events for the decisions and words out.
 */
public final class Recall {
    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;

    /**
     * Half-lives. Flapping comes of a host's or network's fault, which lasts minutes and seldom hours. A hold answers
     * a trouble of half a minute. Overload rises and falls in seconds. What a fleet bears changes with a release, say
     * once a day.
     */
    private static final Map<Event.Recall, Long> HALF_LIFE = new EnumMap<>(Map.of(
            Event.Recall.FLAPPING,
            10 * MINUTE,
            Event.Recall.HOLD_NS,
            2 * MINUTE,
            Event.Recall.SHED,
            10 * SECOND,
            Event.Recall.STRAINED,
            10 * SECOND,
            Event.Recall.CALM_LOAD,
            24 * 60 * MINUTE,
            Event.Recall.CALM_WHOLE,
            24 * 60 * MINUTE));
    /** Under this a fact says nothing; the half-lives above reach it after some four of them. */
    private static final double WORTHLESS = 0.05;
    /** Clocks of one machine do not differ; a little is left for steps that keep time right. */
    private static final long FUTURE_NS = 5 * SECOND;
    /** Far ahead: no coordinator is down for longer than this and finds the fleet it left. */
    private static final long STALE_NS = 7 * 24 * 60 * MINUTE;

    private Recall() {}

    /** @param words gets a line for each thing not believed, for the log */
    public static List<Event.Recalled> of(Facts.Image image, List<Event.Entry> list, long nowNs, List<String> words) {
        List<Event.Recalled> events = new ArrayList<>();
        Facts.OfSelf self = image.self();
        if (self == null) {
            return events;
        }
        long away = nowNs - self.atNs();
        if (away < -FUTURE_NS) {
            words.add("memory is from " + -away / SECOND
                    + " s ahead: the clock went back or the file is foreign; nothing" + " is recalled");
            return events;
        }
        if (away > STALE_NS) {
            words.add("memory is " + away / (24 * 60 * MINUTE) + " days old; nothing is recalled");
            return events;
        }
        words.add(String.format(
                Locale.ROOT,
                "memory of %.1f s ago, %s end, %d facts",
                away / 1e9,
                self.cleanEnd() ? "clean" : "unclean",
                image.size()));
        add(events, Event.Recall.CALM_LOAD, "", self.calmLoad(), away);
        add(events, Event.Recall.CALM_WHOLE, "", self.calmWhole(), away);
        add(events, Event.Recall.SHED, "", self.shed(), away);
        add(events, Event.Recall.STRAINED, "", self.strained() ? 1 : 0, away);
        int unseen = 0;
        int restarted = 0;
        for (Event.Entry entry : list) {
            if (!(image.get("server " + entry.server()) instanceof Facts.OfServer server)) {
                unseen++;
                continue;
            }
            boolean same = server.starts().isEmpty()
                    || server.starts().get(server.starts().size() - 1) == entry.startedNs();
            restarted += same ? 0 : 1;
            if (entry.listed() != Event.Listed.READY) {
                continue;
            }
            flapping(events, server, same, nowNs);
            if (same) {
                // A new process need not have what ailed the old one.
                add(events, Event.Recall.HOLD_NS, server.id(), server.holdNs(), nowNs - server.atNs());
            }
        }
        if (unseen + restarted > 0) {
            words.add(unseen + " servers of the list are new to memory, " + restarted + " have restarted since");
        }
        return events;
    }

    /** One fall is a release or a crash; what falls again within some minutes flaps. */
    private static void flapping(List<Event.Recalled> events, Facts.OfServer server, boolean same, long nowNs) {
        double falls = same ? 0 : 1;
        for (long fall : server.falls()) {
            falls += fall > nowNs + FUTURE_NS ? 0 : worth(Event.Recall.FLAPPING, nowNs - fall);
        }
        double confidence = Math.min(1, falls - 1);
        if (confidence > WORTHLESS) {
            events.add(new Event.Recalled(Event.Recall.FLAPPING, server.id(), falls, confidence));
        }
    }

    private static void add(List<Event.Recalled> events, Event.Recall kind, String server, double value, long age) {
        double confidence = worth(kind, age);
        if (value > 0 && Double.isFinite(value) && confidence > WORTHLESS) {
            events.add(new Event.Recalled(kind, server, value, confidence));
        }
    }

    /** From 1 for what is of now to a half at the half-life and so on. */
    static double worth(Event.Recall kind, long ageNs) {
        return Math.pow(0.5, Math.max(0, ageNs) / (double) HALF_LIFE.get(kind));
    }
}
