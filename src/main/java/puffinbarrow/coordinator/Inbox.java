package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * What came and was not decided yet. Any thread offers, the decision thread drains. Nothing is ever lost: a stream
 * that offers into a full inbox stops reading until the next drain, so what waits is at most the limit and one read's
 * worth of frames for each stream.
 */
public final class Inbox<T> {
    private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Runnable> stopped = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong offered = new AtomicLong();
    private volatile int limit;
    private volatile Thread reader;
    private volatile long overflows;

    public Inbox(int limit) {
        this.limit = limit;
    }

    void limit(int frames) {
        limit = frames;
    }

    public void reader(Thread thread) {
        reader = thread;
    }

    /** Takes it in any case; false asks the caller's stream to stop reading, {@link #stopped} to be told when to go on. */
    public boolean offer(T input) {
        queue.add(input);
        offered.incrementAndGet();
        int now = size.incrementAndGet();
        LockSupport.unpark(reader);
        return now < limit;
    }

    /** Notes how a stream that stopped is resumed; it is after the next drain. */
    public void stopped(Runnable resume) {
        overflows++;
        stopped.add(resume);
        LockSupport.unpark(reader);
    }

    public boolean isEmpty() {
        return queue.isEmpty() && stopped.isEmpty();
    }

    public int size() {
        return size.get();
    }

    /** How many were ever offered. */
    long offered() {
        return offered.get();
    }

    long overflows() {
        return overflows;
    }

    public List<T> drain() {
        List<T> all = new ArrayList<>();
        // No more than the limit in one turn: a flood is decided in portions, and timers come in between.
        for (T next = queue.poll(); next != null; next = all.size() < limit ? queue.poll() : null) {
            all.add(next);
            size.decrementAndGet();
        }
        for (Runnable next = stopped.poll(); next != null; next = stopped.poll()) {
            next.run();
        }
        return all;
    }
}
