package puffinbarrow.platform;

import java.util.ArrayDeque;

/**
 * Holds calls to the relay back where one more message would pass the platform's limit on messages to a proxy, whatever
 * was ordered. The relay may have written a message at any time between a call and its answer or break, so a message
 * counts until the span has passed since the latter. Used on the decision thread only.
 */
final class MessageWindow {
    private final int allowed;
    private final long spanNs;
    /** Times at which calls that may have been accepted were answered or broke, in order. */
    private final ArrayDeque<Long> endedAtNs = new ArrayDeque<>();

    /** Creates an empty window; {@code allowed} is 0 where the platform has no limit. */
    MessageWindow(int allowed, long spanNs) {
        this.allowed = allowed;
        this.spanNs = spanNs;
    }

    /** Records that a call which may have been accepted was answered or broke. */
    void add(long nowNs) {
        endedAtNs.addLast(nowNs);
        if (endedAtNs.size() > allowed) {
            endedAtNs.pollFirst();
        }
    }

    /** Returns how long the next call has to wait, in nanoseconds; 0 if it may go now. */
    long waitNs(long nowNs) {
        if (allowed == 0 || endedAtNs.size() < allowed) {
            return 0;
        }
        return Math.max(0, endedAtNs.peekFirst() + spanNs + 1 - nowNs);
    }
}
