package puffinbarrow.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps what all clients of a listener together make the process hold within one limit. A limit for each client is not
 * enough: their number times that limit may be more than the heap. Beyond the limit clients are evicted, the one that
 * holds most over its allowance first, so that clients that hold little are served on. Safe for use by several threads.
 */
public final class ClientMemory {
    /** Heap that a connection takes besides its buffers: channel, link, parser, entries in lists. */
    public static final int CONNECTION_OVERHEAD_BYTES = 1024;
    /** Share of the heap for clients; the rest is for the state of the process and for garbage. */
    private static final int HEAP_SHARE = 4;

    /** A connected client. Its methods are called with no lock held, but for those that only tell sizes. */
    public interface Client {
        /** Returns the bytes that it makes the process hold now; 0 once its connection has ended. */
        long heldBytes();

        /** Returns the bytes that it may hold however little room is left. */
        long allowanceBytes();

        /** Returns whether it may be evicted within its allowance, as it has not identified itself. */
        boolean expendable();

        /** Ends the connection at once and gives up what it holds. */
        void evict();
    }

    private final long limitBytes;
    /** Bytes counted for each client, the client that connected first first; guarded by this, as is their sum. */
    private final Map<Client, Long> countedBytes = new LinkedHashMap<>();

    private long totalBytes;

    /** @param limitBytes the most bytes that all clients together may make the process hold */
    public ClientMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a limit of a quarter of the heap's largest size. */
    public static ClientMemory ofHeap() {
        return new ClientMemory(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /** Counts a client, known or new, and evicts clients until all are within the limit; returns how many. */
    public int update(Client client) {
        count(client);
        return evictBeyondLimit();
    }

    /** Counts all known clients anew, as what they hold changes also as data is sent; returns how many it evicted. */
    public int updateAll() {
        List<Client> clients;
        synchronized (this) {
            clients = List.copyOf(countedBytes.keySet());
        }
        clients.forEach(this::recount);
        return evictBeyondLimit();
    }

    /** Forgets a client whose connection has ended. */
    public synchronized void remove(Client client) {
        Long counted = countedBytes.remove(client);
        totalBytes -= counted == null ? 0 : counted;
    }

    /** Returns the bytes counted now. */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    private synchronized void count(Client client) {
        long held = client.heldBytes();
        Long counted = held == 0 ? countedBytes.remove(client) : countedBytes.put(client, held);
        totalBytes += held - (counted == null ? 0 : counted);
    }

    private synchronized void recount(Client client) {
        // It may have ended meanwhile.
        if (countedBytes.containsKey(client)) {
            count(client);
        }
    }

    private int evictBeyondLimit() {
        int evicted = 0;
        for (Client next = nextToEvict(); next != null; next = nextToEvict()) {
            remove(next);
            next.evict();
            evicted++;
        }
        return evicted;
    }

    /** Returns the client to evict, or null if all are within the limit or none may be evicted. */
    private synchronized Client nextToEvict() {
        if (totalBytes <= limitBytes) {
            return null;
        }
        Client largest = null;
        long mostOver = 0;
        Client firstExpendable = null;
        for (Map.Entry<Client, Long> entry : countedBytes.entrySet()) {
            Client client = entry.getKey();
            long over = entry.getValue() - client.allowanceBytes();
            if (over > mostOver) {
                mostOver = over;
                largest = client;
            }
            firstExpendable = firstExpendable == null && client.expendable() ? client : firstExpendable;
        }
        return largest != null ? largest : firstExpendable;
    }
}
