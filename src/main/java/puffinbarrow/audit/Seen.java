package puffinbarrow.audit;

import java.util.List;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * An event observed at the sockets of the stand-in servers, or of their emulated counterparts. All times are
 * nanoseconds on one clock; a group is the index of a traffic group in the settings.
 */
public sealed interface Seen {
    /** Returns when it was observed. */
    long at();

    /** The registry sent a server list to a coordinator. */
    record ListTold(long at, int coordinator, Event.ListKind kind, List<Event.Entry> entries) implements Seen {}

    /** The store gave a coordinator charge of a slice, or took it away. */
    record ChargeTold(long at, int coordinator, int slice, boolean given) implements Seen {}

    /** A proxy's stream to a coordinator was welcomed, or ended. */
    record Stream(long at, int proxy, int coordinator, boolean up) implements Seen {}

    /**
     * A proxy received a frame with orders, which take effect later ({@link Applied}).
     *
     * @param orderedAtNs when the coordinator decided them
     * @param lines number of orders
     */
    record Arrived(long at, int proxy, int coordinator, long turn, long orderedAtNs, int lines) implements Seen {}

    /** Orders took effect at a proxy; {@code orderedAtNs}: when the coordinator decided them. */
    record Applied(long at, int proxy, int coordinator, long orderedAtNs, List<Order> orders) implements Seen {}

    /** Orders for a slice took effect at a proxy under that term. */
    record Took(long at, int proxy, int coordinator, int slice, long term) implements Seen {}

    /** A proxy replaced its table of a slice by the one read from the store. */
    record TableRead(long at, int proxy, int slice, List<Order.SetLine> lines) implements Seen {}

    /** A proxy learned, from the store or from orders, which coordinator is in charge of a slice. */
    record OwnerRead(long at, int proxy, int slice, int coordinator) implements Seen {}

    /**
     * A proxy sent an attempt.
     *
     * @param attempt number of the attempt within its flow, from 0
     * @param workNs time that it takes on one core of speed 1
     * @param coordinator the one in charge of the slice; -1: none known
     */
    record Sent(
            long at,
            int proxy,
            String server,
            int slice,
            int group,
            long flow,
            int attempt,
            long workNs,
            int coordinator)
            implements Seen {}

    /** An attempt ended for its proxy; {@code good}: with a good answer, {@code proof}: proven never to have run. */
    record Ended(long at, int proxy, long flow, int attempt, boolean good, boolean proof) implements Seen {}

    /** A server began work on a flow, or finished it. */
    record Ran(long at, String server, int zone, int cell, int slice, int group, long flow, boolean begins)
            implements Seen {}

    /**
     * A server's process started cold.
     *
     * @param speed of one core, relative to the core in which work is measured
     * @param coldFrom part of its full capacity right after the start; grows linearly
     * @param coldNs time after the start at which it has its full capacity
     */
    record Started(long at, String server, double cores, double speed, double coldFrom, long coldNs) implements Seen {}
}
