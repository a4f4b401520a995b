package puffinbarrow.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Collects what stand-ins see, from any thread, up to a cap; a record that overflowed cannot be judged. */
public final class Recorder {
    private final ConcurrentLinkedQueue<Seen> queue = new ConcurrentLinkedQueue<>();
    private final AtomicLong count = new AtomicLong();
    private final long most;

    public Recorder(long most) {
        this.most = most;
    }

    public void add(Seen seen) {
        if (count.incrementAndGet() <= most) {
            queue.add(seen);
        }
    }

    public long lost() {
        return Math.max(0, count.get() - most);
    }

    /** All so far in order of time; equal times keep the order they came in. */
    public List<Seen> all() {
        List<Seen> all = new ArrayList<>(queue);
        all.sort(Comparator.comparingLong(Seen::at));
        return all;
    }
}
