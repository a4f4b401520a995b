package puffinbarrow.audit;

import java.util.List;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * An event observed at the sockets of the stand-in servers, or of their emulated counterparts. All times are
 * nanoseconds on one clock; a group is the index of a traffic group in the settings.
 */
public sealed interface Observation {
    /** Returns when it was observed. */
    long at();

    /** The registry sent a server list to a coordinator. */
    record ListSent(long at, int coordinator, Event.ListKind kind, List<Event.Entry> entries) implements Observation {}

    /** The store gave a coordinator charge of a slice, or took it away. */
    record ChargeSent(long at, int coordinator, int slice, boolean given) implements Observation {}

    /** A proxy's stream to a coordinator was welcomed, or ended. */
    record StreamChanged(long at, int proxy, int coordinator, boolean up) implements Observation {}

    /**
     * A proxy received a frame with orders, which take effect later ({@link OrdersApplied}).
     *
     * @param orderedAtNs when the coordinator decided them
     * @param lines number of orders
     */
    record OrdersReceived(long at, int proxy, int coordinator, long turn, long orderedAtNs, int lines)
            implements Observation {}

    /** Orders took effect at a proxy; {@code orderedAtNs}: when the coordinator decided them. */
    record OrdersApplied(long at, int proxy, int coordinator, long orderedAtNs, List<Order> orders)
            implements Observation {}

    /** Orders for a slice took effect at a proxy under that term. */
    record TermApplied(long at, int proxy, int coordinator, int slice, long term) implements Observation {}

    /** A proxy replaced its table of a slice by the one read from the store. */
    record TableRead(long at, int proxy, int slice, List<Order.SetLine> lines) implements Observation {}

    /** A proxy learned, from the store or from orders, which coordinator is in charge of a slice. */
    record OwnerRead(long at, int proxy, int slice, int coordinator) implements Observation {}

    /**
     * A proxy sent an attempt.
     *
     * @param attempt number of the attempt within its flow, from 0
     * @param workNs time that it takes on one core of speed 1
     * @param coordinator the one in charge of the slice; -1: none known
     */
    record AttemptSent(
            long at,
            int proxy,
            String server,
            int slice,
            int group,
            long flow,
            int attempt,
            long workNs,
            int coordinator)
            implements Observation {}

    /**
     * An attempt ended for its proxy.
     *
     * @param good it ended with a good answer
     * @param provenNotRun it is proven never to have run
     */
    record AttemptEnded(long at, int proxy, long flow, int attempt, boolean good, boolean provenNotRun)
            implements Observation {}

    /** A server began work on a flow, or finished it. */
    record WorkChanged(long at, String server, int zone, int cell, int slice, int group, long flow, boolean begins)
            implements Observation {}

    /**
     * A server's process started cold.
     *
     * @param speed of one core, relative to the core in which work is measured
     * @param coldFrom part of its full capacity right after the start; grows linearly
     * @param coldNs time after the start at which it has its full capacity
     */
    record ServerStarted(long at, String server, double cores, double speed, double coldFrom, long coldNs)
            implements Observation {}
}
