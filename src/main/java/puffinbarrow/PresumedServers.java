package puffinbarrow;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Keeps the servers that stored lines name although no server list has named them yet, each until a deadline. They are
 * presumed to run: after a restart the list may be old, and a new server can be in lines of another coordinator before
 * this one's list names it. Used by {@link Logic} on its thread.
 */
final class PresumedServers {
    private final TreeMap<String, Long> deadlinesNs = new TreeMap<>();

    /** Presumes that a server runs, until a list names it or the deadline. */
    void add(String server, long deadlineNs) {
        deadlinesNs.put(server, deadlineNs);
    }

    /** Ends the presumption for a server that a list names; returns whether there was one. */
    boolean remove(String server) {
        return deadlinesNs.remove(server) != null;
    }

    /** Ends the presumption where the deadline has passed and returns those servers. */
    List<String> removeExpired(long nowNs) {
        List<String> expired = new ArrayList<>();
        deadlinesNs.forEach((server, deadlineNs) -> {
            if (nowNs >= deadlineNs) {
                expired.add(server);
            }
        });
        deadlinesNs.keySet().removeAll(expired);
        return expired;
    }
}
