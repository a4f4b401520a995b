package puffinbarrow.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Order;

/**
 * Keeps a gap between two consecutive owners of a slice whose writes go to a single server. A change of owner is split
 * in two: first the slice's table is cleared, followed by a mark; the new owner's line follows once no proxy can send
 * to the former owner any more and the writes in progress have ended. Connected proxies confirm the mark; the others
 * stop by themselves one proxy lease after their stream broke or the slice came to another coordinator. The
 * coordinator's decision thread calls it. It does no I/O and has no clock; all times are nanoseconds on the caller's
 * clock.
 *
 * <p>An owner that failed is waited for just as long, because it may only be unreachable. While a slice has no owner
 * its writes are blocked, so a change back and forth costs two pauses. The length is bounded by the rule on slices
 * without a server and by the longest expiry of a write.
 */
public final class OwnerChangePause {
    /** State of a slice that this coordinator holds. */
    private static final class SliceView {
        /** The server that proxies may send to, or null. */
        String owner;
        /** The new owner's line, held back until the pause is over, or null. */
        Order.SetLine nextLine;
        /** The mark that follows the latest clearing of the table, or 0. */
        long mark;

        /** Proxies that were connected when the table was cleared and have not confirmed the mark. */
        final TreeSet<Integer> unconfirmedProxies = new TreeSet<>();
        /** The pause lasts at least until this time, whichever proxies have confirmed. */
        long untilNs;

        boolean paused;
    }

    private final long proxyLeaseNs;
    private final long maxWriteNs;
    private final TreeMap<Integer, SliceView> slices = new TreeMap<>();
    /** When a proxy's stream last broke: that proxy continues to send for one proxy lease. */
    private long lastLeftAtNs = Long.MIN_VALUE / 2;

    private int lastMark;
    private long ownerChanges;

    /**
     * Creates an instance without slices.
     *
     * @param proxyLeaseNs how long a proxy without a stream continues to send
     * @param maxWriteNs the longest that a write may be in progress, by its expiry
     */
    public OwnerChangePause(long proxyLeaseNs, long maxWriteNs) {
        this.proxyLeaseNs = proxyLeaseNs;
        this.maxWriteNs = maxWriteNs;
    }

    /**
     * This coordinator acquired the slice; {@code owner} is the server of its stored line, null if the table is empty.
     */
    public void sliceAcquired(long nowNs, int slice, String owner) {
        SliceView view = slices.computeIfAbsent(slice, n -> new SliceView());
        view.owner = owner;
        view.nextLine = null;
        view.unconfirmedProxies.clear();
        // Proxies that have not read the store yet stop by then; an empty table may have been cleared only just now.
        view.untilNs = nowNs + proxyLeaseNs + (owner == null ? maxWriteNs : 0);
        view.paused = owner == null;
    }

    /** This coordinator no longer holds the slice. */
    public void sliceLost(int slice) {
        slices.remove(slice);
    }

    /** Returns the orders with each change of owner replaced by clearing the slice's table, and a mark at the end. */
    public List<Order> delayOwnerChanges(long nowNs, List<Order> orders, Collection<Integer> connectedProxies) {
        List<Order> out = new ArrayList<>();
        List<SliceView> newlyPaused = new ArrayList<>();
        for (Order order : orders) {
            if (order instanceof Order.SetLine line && slices.containsKey(line.table())) {
                SliceView view = slices.get(line.table());
                if (line.weight() <= 0
                        ? line.server().equals(view.owner)
                        : view.owner != null && !line.server().equals(view.owner)) {
                    beginPause(nowNs, view, line.table(), out, newlyPaused, connectedProxies);
                }
                if (line.weight() > 0) {
                    if (view.paused) {
                        view.nextLine = line;
                    } else {
                        view.owner = line.server();
                        out.add(line);
                    }
                } else if (view.nextLine != null && view.nextLine.server().equals(line.server())) {
                    view.nextLine = null;
                }
            } else if (order instanceof Order.ClearTable clear && slices.containsKey(clear.table())) {
                SliceView view = slices.get(clear.table());
                view.nextLine = null;
                if (view.owner != null) {
                    beginPause(nowNs, view, clear.table(), out, newlyPaused, connectedProxies);
                }
            } else {
                out.add(order);
            }
        }
        if (!newlyPaused.isEmpty()) {
            int mark = --lastMark;
            newlyPaused.forEach(view -> view.mark = mark);
            out.add(new Order.Mark(mark, true));
        }
        return out;
    }

    private void beginPause(
            long nowNs,
            SliceView view,
            int slice,
            List<Order> out,
            List<SliceView> newlyPaused,
            Collection<Integer> connectedProxies) {
        view.owner = null;
        view.paused = true;
        view.unconfirmedProxies.clear();
        view.unconfirmedProxies.addAll(connectedProxies);
        view.untilNs = Math.max(Math.max(view.untilNs, lastLeftAtNs + proxyLeaseNs), nowNs) + maxWriteNs;
        newlyPaused.add(view);
        out.add(new Order.ClearTable(slice));
        ownerChanges++;
    }

    /** A proxy has applied all orders up to the mark. Marks of this class are negative, unlike all others. */
    public void markConfirmed(long nowNs, int proxy, long mark) {
        for (SliceView view : slices.values()) {
            // Marks on a stream are confirmed in order: a later one, which is lower, covers all earlier ones.
            if (view.paused && view.mark >= mark && view.unconfirmedProxies.remove(proxy)) {
                view.untilNs = Math.max(view.untilNs, nowNs + maxWriteNs);
            }
        }
    }

    /** A proxy's stream broke. */
    public void proxyLeft(long nowNs, int proxy) {
        lastLeftAtNs = nowNs;
        for (SliceView view : slices.values()) {
            if (view.paused && view.unconfirmedProxies.remove(proxy)) {
                view.untilNs = Math.max(view.untilNs, nowNs + proxyLeaseNs + maxWriteNs);
            }
        }
    }

    /** Returns the lines whose pause is over, once each. */
    public List<Order> dueLines(long nowNs) {
        List<Order> due = new ArrayList<>();
        for (SliceView view : slices.values()) {
            if (view.paused && view.unconfirmedProxies.isEmpty() && nowNs >= view.untilNs) {
                if (view.nextLine != null) {
                    due.add(view.nextLine);
                    view.owner = view.nextLine.server();
                    view.nextLine = null;
                }
                view.paused = false;
            }
        }
        return due;
    }

    /** When {@link #dueLines} may next return a line without further input, or {@code Long.MAX_VALUE}. */
    public long nextAtNs() {
        long next = Long.MAX_VALUE;
        for (SliceView view : slices.values()) {
            if (view.paused && view.unconfirmedProxies.isEmpty()) {
                next = Math.min(next, view.untilNs);
            }
        }
        return next;
    }

    /** The number of slices whose new owner is held back. */
    public int pausing() {
        return (int) slices.values().stream()
                .filter(view -> view.paused && view.nextLine != null)
                .count();
    }

    /** The number of pauses begun so far. */
    public long ownerChanges() {
        return ownerChanges;
    }
}
