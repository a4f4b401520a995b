package puffinbarrow.control;

import java.util.List;
import java.util.Map;

/** An input of the decision logic. Times are in nanoseconds; server ids are passed on unchanged. */
public sealed interface Event {
    /** State of a server in the server list. */
    enum Listed {
        READY,
        DRAINING,
        GONE
    }

    /** A measure in a load report. */
    enum Measure {
        /** Share of the cores that are busy, 0 to 1. */
        BUSY,
        /** Flows being processed. */
        HELD,
        /** Flows waiting to be processed. */
        WAITING,
        /** Service time of a flow, in milliseconds. */
        SERVICE_MS,
        DELIVERED_PER_S,
        DROPPED_PER_S
    }

    /** What a server list covers. */
    enum ListKind {
        /** Only entries that changed. */
        PATCH,
        /** All entries; servers without one have been removed. */
        WHOLE,
        /** All entries, but from a copy that may be out of date. */
        STALE_COPY,
        /** No entries: following the list failed. */
        BROKEN
    }

    /**
     * A server in the list.
     *
     * @param kind number of its machine type
     * @param cell number of its failure domain
     * @param size capacity relative to other servers
     * @param startedNs start time; 0: not known
     */
    record Entry(String server, int zone, int kind, int cell, Listed listed, double size, long startedNs) {}

    /** The server list, or changes to it. */
    record ServerList(ListKind kind, List<Entry> entries) implements Event {}

    /** The time of an {@link Order.WakeAt} has come; {@code label} is that order's. */
    record Timer(long label) implements Event {}

    /** The result of a probe; {@code answered} is true only for a successful answer. */
    record Probed(String server, boolean answered, long tookNs, Map<Measure, Double> report) implements Event {}

    /** A message from another coordinator. */
    record PeerMessage(int sender, String text) implements Event {}

    /**
     * A proxy connected.
     *
     * @param fresh whether it holds nothing from an earlier connection, such as masks
     * @param flowsPerS the flows per second that it reports
     */
    record ProxyJoined(int proxy, boolean fresh, double flowsPerS, int zone) implements Event {}

    /**
     * A proxy that has joined may have disconnected and connected again unnoticed. Messages sent to it before may be
     * lost or may still wait in the channel.
     */
    record ProxyUncertain(int proxy) implements Event {}

    /** A proxy disconnected. */
    record ProxyLeft(int proxy) implements Event {}

    /**
     * Sums over the attempts that the proxies of a zone made at a server.
     *
     * @param spanNs the time the sums cover
     * @param tookNs mean time of the delivered attempts
     * @param dropped dropped attempts among {@code tries}
     * @param tries all attempts
     * @param report the server's latest load report; empty if it sent none
     */
    record ServerSums(
            String server, int zone, long spanNs, long tookNs, long dropped, long tries, Map<Measure, Double> report)
            implements Event {}

    /** Flows of a traffic group that arrived at a proxy within a span. */
    record ProxyDemand(int proxy, int group, long flows, long dropped, long spanNs) implements Event {}

    /** Flows of a traffic group that arrived for a slice within a span. */
    record SliceDemand(int slice, int group, long flows, long dropped, long spanNs) implements Event {}

    /** This coordinator has become ({@code given}) or is no longer the one that decides for a slice. */
    record SliceCharge(int slice, boolean given) implements Event {}

    /** A line that a slice given to this coordinator already has. */
    record StoredLine(int slice, String server, double weight) implements Event {}

    /** Kind of a fact that is kept across a restart of the coordinator. */
    enum Recall {
        /** The server's health changed often. */
        FLAPPING,
        /** Length of the server's latest hold, in nanoseconds. */
        HOLD_NS,
        /** The highest demand per usable capacity at which the fleet was not overloaded. */
        CALM_LOAD,
        /** The same per capacity of the complete fleet. */
        CALM_WHOLE,
        /** How much traffic was shed, in traffic groups. */
        SHED,
        /** Whether the fleet was overloaded, 0 or 1. */
        STRAINED
    }

    /**
     * A fact kept from before a restart.
     *
     * @param server id of the server, or empty if the fact is about the fleet
     * @param value in the unit of the kind
     * @param confidence 0 to 1
     */
    record Recalled(Recall kind, String server, double value, double confidence) implements Event {}

    /**
     * The host sent the proxies a message besides those that orders brought about, such as a message sent twice because
     * it was not certain whether the first one had been taken.
     */
    record ExtraMessage() implements Event {}

    /**
     * A proxy has applied all orders up to an {@link Order.Mark}.
     *
     * @param mark number of the mark
     * @param tookNs time from the order to the application
     */
    record InForce(int proxy, int mark, long tookNs) implements Event {}
}
