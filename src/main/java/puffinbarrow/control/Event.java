package puffinbarrow.control;

import java.util.List;
import java.util.Map;

/** What a coordinator can learn. Times are nanoseconds; ids are kept as they came. */
public sealed interface Event {
    enum Listed {
        READY,
        DRAINING,
        GONE
    }

    /** What a load report can hold: share of cores busy, flows held, flows waiting, and so on. */
    enum Measure {
        BUSY,
        HELD,
        WAITING,
        SERVICE_MS,
        DELIVERED_PER_S,
        DROPPED_PER_S
    }

    enum ListKind {
        PATCH,
        WHOLE,
        STALE_COPY,
        BROKEN
    }

    record Entry(String server, int zone, int kind, int cell, Listed listed, double size, long startedNs) {}

    record ServerList(ListKind kind, List<Entry> entries) implements Event {}

    record Timer(long label) implements Event {}

    /** The answer to a probe; {@code answered} only if it was a good one. */
    record Probed(String server, boolean answered, long tookNs, Map<Measure, Double> report) implements Event {}

    record PeerMessage(int sender, String text) implements Event {}

    record ProxyJoined(int proxy, boolean fresh, double flowsPerS, int zone) implements Event {}

    record ProxyLeft(int proxy) implements Event {}

    /** What the proxies of a zone met at a server over a span. */
    record ServerSums(
            String server, int zone, long spanNs, long tookNs, long dropped, long tries, Map<Measure, Double> report)
            implements Event {}

    /** Flows of a traffic group that came to a proxy. */
    record ProxyDemand(int proxy, int group, long flows, long dropped, long spanNs) implements Event {}

    /** Flows of a traffic group that came for a slice. */
    record SliceDemand(int slice, int group, long flows, long dropped, long spanNs) implements Event {}

    record SliceCharge(int slice, boolean given) implements Event {}

    record StoredLine(int slice, String server, double weight) implements Event {}

    /** What a former life can have learned: that a server flaps, a hold it had, what the fleet bore, how it shed. */
    enum Recall {
        FLAPPING,
        HOLD_NS,
        CALM_LOAD,
        CALM_WHOLE,
        SHED,
        STRAINED
    }

    /** Something learned before a restart; {@code server} is empty where it is about the fleet. Confidence 0 to 1. */
    record Recalled(Recall kind, String server, double value, double confidence) implements Event {}

    record InForce(int proxy, int mark, long tookNs) implements Event {}
}
