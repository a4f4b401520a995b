package puffinbarrow.audit;

import java.util.List;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/** What was seen on the sockets, at the ends of stand-ins, on one clock (nanoseconds). */
public sealed interface Seen {
    long at();

    /** A list frame left for a coordinator. */
    record ListTold(long at, int coordinator, Event.ListKind kind, List<Event.Entry> entries) implements Seen {}

    record ChargeTold(long at, int coordinator, int slice, boolean given) implements Seen {}

    /** A proxy's stream to a coordinator was welcomed, or ended. */
    record Stream(long at, int proxy, int coordinator, boolean up) implements Seen {}

    /** An orders frame came out of the socket; it takes effect later, see {@link Applied}. */
    record Arrived(long at, int proxy, int coordinator, long turn, long orderedAtNs, int lines) implements Seen {}

    record Applied(long at, int proxy, int coordinator, long orderedAtNs, List<Order> orders) implements Seen {}

    /** Orders for a slice took effect at a proxy, under that term. */
    record Took(long at, int proxy, int coordinator, int slice, long term) implements Seen {}

    /** A proxy took over a slice's table from the store. */
    record TableRead(long at, int proxy, int slice, List<Order.SetLine> lines) implements Seen {}

    record OwnerRead(long at, int proxy, int slice, int coordinator) implements Seen {}

    /** An attempt left a proxy. {@code workNs} is its work on one core of speed 1. */
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

    /** The attempt's end as the proxy saw it; {@code proof} that it never ran. */
    record Ended(long at, int proxy, long flow, int attempt, boolean good, boolean proof) implements Seen {}

    /** A server took a flow into work, or finished it. */
    record Ran(long at, String server, int zone, int cell, int slice, int group, long flow, boolean begins)
            implements Seen {}

    /** A server's process began; what it can do by its age. */
    record Started(long at, String server, double cores, double speed, double coldFrom, long coldNs) implements Seen {}
}
