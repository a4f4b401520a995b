package puffinbarrow.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that all clients of a process together make it hold, against one limit. A limit for each client is
 * not enough: their number times that limit may be more than the heap. Safe for use by several threads.
 */
public final class MemoryBudget {
    /** Share of the heap for clients; the rest is for the state of the process and for garbage. */
    private static final int HEAP_SHARE = 4;

    private final long limitBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    /** @param limitBytes the most bytes that clients may make the process hold */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a budget of a quarter of the heap's largest size. */
    public static MemoryBudget ofHeap() {
        return new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /** Records that a client makes the process hold so many bytes more, or fewer if negative. */
    public void add(long bytes) {
        heldBytes.addAndGet(bytes);
    }

    /** Returns whether more is held than the limit allows. */
    public boolean exceeded() {
        return heldBytes.get() > limitBytes;
    }

    /** Returns the bytes held now. */
    public long heldBytes() {
        return heldBytes.get();
    }
}
