package puffinbarrow.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Collects what the stand-in servers observe, up to a limit; a recording that exceeded it cannot be audited. All
 * methods may be called from any thread.
 */
public final class Recorder {
    private final ConcurrentLinkedQueue<Observation> queue = new ConcurrentLinkedQueue<>();
    private final AtomicLong count = new AtomicLong();
    private final long capacity;

    /** @param capacity number of events that are kept; further ones are counted and dropped */
    public Recorder(long capacity) {
        this.capacity = capacity;
    }

    /** Adds an event, or drops it if the recorder is full. */
    public void add(Observation observation) {
        if (count.incrementAndGet() <= capacity) {
            queue.add(observation);
        }
    }

    /** Returns the number of events that were dropped. */
    public long droppedCount() {
        return Math.max(0, count.get() - capacity);
    }

    /** Returns the events so far in order of time; events of equal time keep the order in which they were added. */
    public List<Observation> sorted() {
        List<Observation> all = new ArrayList<>(queue);
        all.sort(Comparator.comparingLong(Observation::at));
        return all;
    }
}
