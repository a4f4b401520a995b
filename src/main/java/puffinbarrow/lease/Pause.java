package puffinbarrow.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Order;

/**
 * The pause between two owners of a slice that has a single one. A change of owner becomes two: the former one's line is
 * taken away with a mark, and the new line follows once no proxy can send to the former owner any more and what it
 * held has ended. Proxies that are joined say so by the mark; those that are not stop by themselves a proxy lease after
 * their stream broke or the slice changed hands. No I/O and no clock of its own.
 *
 * <p>Also caught: an owner that died. Its slice waits as long, for the dead may only be cut off. Harm: a slice without
 * an owner blocks its writes, so a change back and forth costs two pauses; the rule on bare slices bounds it, as the
 * longest expiry of a write does.
 */
public final class Pause {
    private static final class Slice {
        /** Whoever the proxies may send to, or null. */
        String owner;
        /** The line that waits, or null. */
        Order.SetLine next;
        /** The emptying under way, or 0. */
        long mark;

        final TreeSet<Integer> waiting = new TreeSet<>();
        /** Not before then, whoever has answered. */
        long untilNs;

        boolean emptying;
    }

    private final long proxyLeaseNs;
    private final long writeNs;
    private final TreeMap<Integer, Slice> slices = new TreeMap<>();
    /** When a stream broke last: that proxy goes on for its lease. */
    private long leftAt = Long.MIN_VALUE / 2;

    private int marks;
    private long changes;

    /** @param writeNs the longest that a write may be in hand, by its expiry */
    public Pause(long proxyLeaseNs, long writeNs) {
        this.proxyLeaseNs = proxyLeaseNs;
        this.writeNs = writeNs;
    }

    /** The slice came into charge; {@code owner} is the stored line's server, null if the table is empty. */
    public void charged(long now, int slice, String owner) {
        Slice s = slices.computeIfAbsent(slice, n -> new Slice());
        s.owner = owner;
        s.next = null;
        s.waiting.clear();
        // Proxies that have not read the store yet stop by then; an empty table may have been emptied only just now.
        s.untilNs = now + proxyLeaseNs + (owner == null ? writeNs : 0);
        s.emptying = owner == null;
    }

    public void lost(int slice) {
        slices.remove(slice);
    }

    /** The orders with each change of owner replaced by the emptying of its slice. */
    public List<Order> orders(long now, List<Order> orders, Collection<Integer> joined) {
        List<Order> out = new ArrayList<>();
        List<Slice> begun = new ArrayList<>();
        for (Order order : orders) {
            if (order instanceof Order.SetLine o && slices.containsKey(o.table())) {
                Slice s = slices.get(o.table());
                if (o.weight() <= 0
                        ? o.server().equals(s.owner)
                        : s.owner != null && !o.server().equals(s.owner)) {
                    begin(now, s, o.table(), out, begun, joined);
                }
                if (o.weight() > 0) {
                    if (s.emptying) {
                        s.next = o;
                    } else {
                        s.owner = o.server();
                        out.add(o);
                    }
                } else if (s.next != null && s.next.server().equals(o.server())) {
                    s.next = null;
                }
            } else if (order instanceof Order.ClearTable o && slices.containsKey(o.table())) {
                Slice s = slices.get(o.table());
                s.next = null;
                if (s.owner != null) {
                    begin(now, s, o.table(), out, begun, joined);
                }
            } else {
                out.add(order);
            }
        }
        if (!begun.isEmpty()) {
            int mark = --marks;
            begun.forEach(s -> s.mark = mark);
            out.add(new Order.Mark(mark, true));
        }
        return out;
    }

    private void begin(long now, Slice s, int slice, List<Order> out, List<Slice> begun, Collection<Integer> joined) {
        s.owner = null;
        s.emptying = true;
        s.waiting.clear();
        s.waiting.addAll(joined);
        s.untilNs = Math.max(Math.max(s.untilNs, leftAt + proxyLeaseNs), now) + writeNs;
        begun.add(s);
        out.add(new Order.ClearTable(slice));
        changes++;
    }

    /** A proxy has taken the emptying in; marks are negative, so that they are no one else's. */
    public void applied(long now, int proxy, long mark) {
        for (Slice s : slices.values()) {
            // Marks of a stream come in order: a later one answers all before.
            if (s.emptying && s.mark >= mark && s.waiting.remove(proxy)) {
                s.untilNs = Math.max(s.untilNs, now + writeNs);
            }
        }
    }

    public void left(long now, int proxy) {
        leftAt = now;
        for (Slice s : slices.values()) {
            if (s.emptying && s.waiting.remove(proxy)) {
                s.untilNs = Math.max(s.untilNs, now + proxyLeaseNs + writeNs);
            }
        }
    }

    /** Lines whose pause is over. */
    public List<Order> due(long now) {
        List<Order> due = new ArrayList<>();
        for (Slice s : slices.values()) {
            if (s.emptying && s.waiting.isEmpty() && now >= s.untilNs) {
                if (s.next != null) {
                    due.add(s.next);
                    s.owner = s.next.server();
                    s.next = null;
                }
                s.emptying = false;
            }
        }
        return due;
    }

    /** When {@link #due} may give something without anything having come. */
    public long nextAtNs() {
        long next = Long.MAX_VALUE;
        for (Slice s : slices.values()) {
            if (s.emptying && s.waiting.isEmpty()) {
                next = Math.min(next, s.untilNs);
            }
        }
        return next;
    }

    /** Slices that wait for an owner. */
    public int pausing() {
        return (int) slices.values().stream()
                .filter(s -> s.emptying && s.next != null)
                .count();
    }

    public long changes() {
        return changes;
    }
}
