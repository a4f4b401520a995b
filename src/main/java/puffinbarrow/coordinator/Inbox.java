package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A queue of inputs for the decision thread. Any thread offers, one thread drains. Nothing is dropped: a connection
 * that offers into a full inbox stops reading until the next drain, so that at most the limit and one read's worth of
 * inputs for each connection wait.
 */
public final class Inbox<T> {
    private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Runnable> toResume = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong offered = new AtomicLong();
    private volatile int limit;
    /** The draining thread, woken by each input; null before it is set. */
    private volatile Thread consumer;
    /** How often a connection stopped reading. */
    private volatile long overflows;

    /**
     * @param limit inputs from which on {@link #offer} asks its callers to stop, and the most that one drain returns
     */
    public Inbox(int limit) {
        this.limit = limit;
    }

    /** Changes the limit. */
    void limit(int frames) {
        limit = frames;
    }

    /** Sets the thread to wake when there is something to do. */
    public void setConsumer(Thread thread) {
        consumer = thread;
    }

    /** Adds an input; if this returns false, the caller must stop reading and call {@link #resumeAfterDrain}. */
    public boolean offer(T input) {
        queue.add(input);
        offered.incrementAndGet();
        int now = size.incrementAndGet();
        LockSupport.unpark(consumer);
        return now < limit;
    }

    /** Records a connection that stopped reading; {@code resume} is called by the next drain. */
    public void resumeAfterDrain(Runnable resume) {
        overflows++;
        toResume.add(resume);
        LockSupport.unpark(consumer);
    }

    public boolean isEmpty() {
        return queue.isEmpty() && toResume.isEmpty();
    }

    public int size() {
        return size.get();
    }

    /** Returns how many inputs were ever offered. */
    long offered() {
        return offered.get();
    }

    long overflows() {
        return overflows;
    }

    /** Removes the waiting inputs, up to the limit, and resumes the connections that stopped reading. */
    public List<T> drain() {
        List<T> drained = new ArrayList<>();
        // No more than the limit at a time, so that timers still run between batches under a flood of inputs.
        for (T next = queue.poll(); next != null; next = drained.size() < limit ? queue.poll() : null) {
            drained.add(next);
            size.decrementAndGet();
        }
        for (Runnable next = toResume.poll(); next != null; next = toResume.poll()) {
            next.run();
        }
        return drained;
    }
}
