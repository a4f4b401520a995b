package puffinbarrow.memory;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import puffinbarrow.control.Event;

/**
 * Turns the facts of a previous run into events for the decision logic, each with a confidence that decays with the
 * fact's age by a half-life per kind. The current server list takes precedence over stored facts. Stateless; called
 * once, when the first list arrives.
 */
public final class RecallFilter {
    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;

    /**
     * Half-lives in nanoseconds. Flapping is caused by faults of a host or network, which last minutes and seldom
     * hours. A hold responds to a disturbance of about half a minute. Overload rises and falls within seconds. The load
     * that a fleet can bear changes with a release, about once a day.
     */
    private static final Map<Event.Recall, Long> HALF_LIVES_NS = new EnumMap<>(Map.of(
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
    /** Facts with a lower confidence are ignored; it is reached after somewhat more than four half-lives. */
    private static final double MIN_CONFIDENCE = 0.05;
    /** How far a fact may lie in the future: the same machine wrote it, but its clock may have been adjusted. */
    private static final long MAX_CLOCK_STEP_NS = 5 * SECOND;
    /** Older memory is ignored: after a longer downtime the fleet is a different one. */
    private static final long MAX_AGE_NS = 7 * 24 * 60 * MINUTE;

    private RecallFilter() {}

    /**
     * Returns the events for the stored facts that are still used.
     *
     * @param list the current server list
     * @param nowNs the wall time
     * @param messages receives lines for the log: the memory's age, or why it is ignored
     */
    public static List<Event.Recalled> recalledEvents(
            Facts.Image image, List<Event.Entry> list, long nowNs, List<String> messages) {
        List<Event.Recalled> events = new ArrayList<>();
        Facts.CoordinatorFact self = image.self();
        if (self == null) {
            return events;
        }
        long ageNs = nowNs - self.atNs();
        if (ageNs < -MAX_CLOCK_STEP_NS) {
            messages.add("memory is from " + -ageNs / SECOND
                    + " s ahead: the clock was set back or the files come from another machine; ignored");
            return events;
        }
        if (ageNs > MAX_AGE_NS) {
            messages.add("memory is " + ageNs / (24 * 60 * MINUTE) + " days old; ignored");
            return events;
        }
        messages.add(String.format(
                Locale.ROOT,
                "memory of %.1f s ago, %s shutdown, %d facts",
                ageNs / 1e9,
                self.cleanShutdown() ? "clean" : "unclean",
                image.size()));
        addIfConfident(events, Event.Recall.CALM_LOAD, "", self.calmLoad(), ageNs);
        addIfConfident(events, Event.Recall.CALM_WHOLE, "", self.calmWhole(), ageNs);
        addIfConfident(events, Event.Recall.SHED, "", self.shed(), ageNs);
        addIfConfident(events, Event.Recall.STRAINED, "", self.overloaded() ? 1 : 0, ageNs);
        int unknown = 0;
        int restarted = 0;
        for (Event.Entry entry : list) {
            if (!(image.get("server " + entry.server()) instanceof Facts.ServerFact server)) {
                unknown++;
                continue;
            }
            boolean sameProcess = server.starts().isEmpty()
                    || server.starts().get(server.starts().size() - 1) == entry.startedNs();
            restarted += sameProcess ? 0 : 1;
            if (entry.listed() != Event.Listed.READY) {
                continue;
            }
            addFlapping(events, server, sameProcess, nowNs);
            if (sameProcess) {
                // The cause of a hold may be gone with the old process.
                addIfConfident(events, Event.Recall.HOLD_NS, server.id(), server.holdNs(), nowNs - server.atNs());
            }
        }
        if (unknown + restarted > 0) {
            messages.add(unknown + " listed servers are not in memory, " + restarted
                    + " have restarted since it was written");
        }
        return events;
    }

    /** A single fall is a release or a crash; a server that falls again within minutes is flapping. */
    private static void addFlapping(
            List<Event.Recalled> events, Facts.ServerFact server, boolean sameProcess, long nowNs) {
        double falls = sameProcess ? 0 : 1;
        for (long fall : server.falls()) {
            falls += fall > nowNs + MAX_CLOCK_STEP_NS ? 0 : confidence(Event.Recall.FLAPPING, nowNs - fall);
        }
        double confidence = Math.min(1, falls - 1);
        if (confidence > MIN_CONFIDENCE) {
            events.add(new Event.Recalled(Event.Recall.FLAPPING, server.id(), falls, confidence));
        }
    }

    private static void addIfConfident(
            List<Event.Recalled> events, Event.Recall kind, String server, double value, long ageNs) {
        double confidence = confidence(kind, ageNs);
        if (value > 0 && Double.isFinite(value) && confidence > MIN_CONFIDENCE) {
            events.add(new Event.Recalled(kind, server, value, confidence));
        }
    }

    /** Returns the confidence in a fact: 1 at age 0, halved with every half-life. */
    static double confidence(Event.Recall kind, long ageNs) {
        return Math.pow(0.5, Math.max(0, ageNs) / (double) HALF_LIVES_NS.get(kind));
    }
}
