package puffinbarrow.coordinator;

import java.util.ArrayDeque;

/** Counts failures of the decisions; for the one thread that calls them. */
public final class Failures {
    /** Within {@link #SPAN_NS}, after which a host gives up: a state that throws five times in a minute will not mend
     * itself, and a restart begins with what stands. */
    static final int MOST = 5;

    private static final long SPAN_NS = 60_000_000_000L;

    private final ArrayDeque<Long> times = new ArrayDeque<>();

    /** Another one at that time; true if it is time to give up. */
    public boolean tooMany(long now) {
        times.addLast(now);
        while (now - times.peekFirst() > SPAN_NS) {
            times.pollFirst();
        }
        return times.size() >= MOST;
    }
}
