package puffinbarrow.coordinator;

import java.util.ArrayDeque;

/**
 * Counts failed decision turns within a sliding window. Used on the decision thread of a coordinator or service only.
 */
public final class FailureWindow {
    /**
     * Failures within {@link #WINDOW_NS} after which the process exits: a state that fails five times in a minute
     * will not recover by itself, while a restart begins with the tables in force.
     */
    static final int MAX_FAILURES = 5;

    private static final long WINDOW_NS = 60_000_000_000L;

    private final ArrayDeque<Long> times = new ArrayDeque<>();

    /** Records a failure at that time; returns whether there have been too many. */
    public boolean tooMany(long now) {
        times.addLast(now);
        while (now - times.peekFirst() > WINDOW_NS) {
            times.pollFirst();
        }
        return times.size() >= MAX_FAILURES;
    }
}
