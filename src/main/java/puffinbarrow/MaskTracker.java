package puffinbarrow;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tracks which masks are ordered, and for which servers the state has to be ordered again because a proxy may hold
 * another one. Used by {@link Logic} on its thread.
 *
 * <p>A proxy keeps its masks when its connection breaks, and when the coordinator restarts and knows of none of them. So
 * a proxy that returns may hold a mask of any server, including one that this run of the coordinator hears of only
 * later. A mask that is not wanted any more, left at a proxy, can leave a slice without a usable server for good.
 *
 * <p>Pushes are numbered. The state ordered in a push is certain for a proxy once the proxy has acknowledged that push,
 * or a later one on the same connection.
 */
final class MaskTracker {
    /** Number of a push whose acknowledgement confirms nothing. */
    private static final long UNCONFIRMED = 0;

    private final TreeSet<String> ordered = new TreeSet<>();
    private final TreeSet<String> toRestate = new TreeSet<>();
    /** Number of the latest push that ordered a server's state, by server. */
    private final Map<String, Long> statedIn = new HashMap<>();
    /** Number of the latest push that left a proxy with all masks as ordered, by proxy; kept while it is away. */
    private final Map<Integer, Long> confirmedThrough = new HashMap<>();
    /** Whether a proxy has joined that was connected before. */
    private boolean proxyReturned;

    private long pushCount;

    /** Returns whether a server's mask has been ordered and not lifted. */
    boolean isOrdered(String server) {
        return ordered.contains(server);
    }

    /** Returns whether a server's mask, or the absence of one, is to be ordered again. */
    boolean needsRestating(String server) {
        return toRestate.contains(server);
    }

    /** Returns the servers whose mask has been ordered and not lifted. */
    SortedSet<String> ordered() {
        return Collections.unmodifiableSortedSet(ordered);
    }

    /** Returns the servers whose mask, or the absence of one, is to be ordered again. */
    SortedSet<String> toRestate() {
        return Collections.unmodifiableSortedSet(toRestate);
    }

    /**
     * Records that a proxy connected.
     *
     * @param fresh whether it holds nothing from an earlier connection
     * @param servers all servers known so far
     */
    void proxyJoined(int proxy, boolean fresh, Collection<String> servers) {
        restateOrdered();
        if (fresh) {
            confirmedThrough.put(proxy, pushCount);
            return;
        }
        proxyReturned = true;
        long confirmed = confirmedThrough.getOrDefault(proxy, UNCONFIRMED);
        servers.stream()
                .filter(server -> statedIn.getOrDefault(server, Long.MAX_VALUE) > confirmed)
                .forEach(toRestate::add);
    }

    /** Records that a server has become known: a proxy that was connected before may hold a mask of it. */
    void serverAppeared(String server) {
        if (proxyReturned) {
            toRestate.add(server);
        }
    }

    /** Has all masks that are ordered now ordered again. */
    void restateOrdered() {
        toRestate.addAll(ordered);
    }

    /** Records that the push being written sets or lifts a server's mask. */
    void state(String server, boolean masked) {
        if (masked) {
            ordered.add(server);
        } else {
            ordered.remove(server);
        }
        toRestate.remove(server);
        statedIn.put(server, pushCount + 1);
    }

    /**
     * Records that a push was ordered.
     *
     * @param needless servers whose state need not be ordered as long as they stay as they are
     * @return the number to pass to {@link #acknowledged}
     */
    long pushed(Predicate<String> needless) {
        pushCount++;
        return toRestate.stream().allMatch(needless) ? pushCount : UNCONFIRMED;
    }

    /** Records that a proxy, on the connection on which the push was sent, has applied it. */
    void acknowledged(int proxy, long push) {
        confirmedThrough.merge(proxy, push, Math::max);
    }
}
