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

    /** What is known of the masks that a proxy holds; kept while it is away. */
    private static final class ProxyMasks {
        /** Whether it may hold masks from an earlier run, so that a server never stated in this run may be masked. */
        private final boolean fromEarlierRun;
        /** Number of the latest push that left it with all masks as ordered. */
        private long confirmedThrough;

        ProxyMasks(boolean fromEarlierRun, long confirmedThrough) {
            this.fromEarlierRun = fromEarlierRun;
            this.confirmedThrough = confirmedThrough;
        }
    }

    private final TreeSet<String> ordered = new TreeSet<>();
    private final TreeSet<String> toRestate = new TreeSet<>();
    /** Whether {@link #toRestate} has all known servers; saves work while proxies join by the hundred. */
    private boolean allToRestate;
    /** Number of the latest push that ordered a server's state, by server. */
    private final Map<String, Long> statedIn = new HashMap<>();

    private final Map<Integer, ProxyMasks> proxies = new HashMap<>();

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
     * Records that a proxy connected, or may have connected again unnoticed. One that returns for the first time in this
     * run may hold a mask of any server; later only those whose state was ordered after its latest acknowledgement are
     * uncertain.
     *
     * @param fresh whether it holds nothing from an earlier connection
     * @param servers all servers known so far
     */
    void proxyConnected(int proxy, boolean fresh, Collection<String> servers) {
        if (fresh) {
            proxies.put(proxy, new ProxyMasks(false, pushCount));
            restateOrdered();
            return;
        }
        ProxyMasks masks = proxies.computeIfAbsent(proxy, id -> new ProxyMasks(true, UNCONFIRMED));
        if (masks.fromEarlierRun && masks.confirmedThrough == UNCONFIRMED) {
            restateAll(servers);
        } else if (!allToRestate) {
            restateOrdered();
            servers.stream().filter(server -> isUncertain(server, masks)).forEach(toRestate::add);
        }
    }

    private boolean isUncertain(String server, ProxyMasks masks) {
        Long push = statedIn.get(server);
        return push == null ? masks.fromEarlierRun : push > masks.confirmedThrough;
    }

    /** Records that a server has become known: a proxy may hold a mask of it from an earlier run. */
    void serverAppeared(String server) {
        allToRestate = false;
        if (proxies.values().stream().anyMatch(masks -> masks.fromEarlierRun)) {
            toRestate.add(server);
        }
    }

    /** Has the state of all servers, which are those given, ordered again. */
    void restateAll(Collection<String> servers) {
        if (!allToRestate) {
            toRestate.addAll(servers);
            allToRestate = true;
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
        allToRestate = false;
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
        ProxyMasks masks = proxies.get(proxy);
        if (masks != null) {
            masks.confirmedThrough = Math.max(masks.confirmedThrough, push);
        }
    }
}
