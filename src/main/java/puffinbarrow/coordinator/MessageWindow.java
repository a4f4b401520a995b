package puffinbarrow.coordinator;

import java.util.ArrayDeque;

/**
 * The limit on messages within a sliding span: tells how long the next message has to wait. Used on the decision thread
 * of a coordinator or service only.
 */
public final class MessageWindow {
    private final int allowed;
    private final long spanNs;
    /** Times of the latest messages, in order; as many as are allowed. */
    private final ArrayDeque<Long> sentAtNs = new ArrayDeque<>();

    /** Creates an empty window; {@code allowed} is 0 where there is no limit. */
    public MessageWindow(int allowed, long spanNs) {
        this.allowed = allowed;
        this.spanNs = spanNs;
    }

    /** Records a message. */
    public void add(long nowNs) {
        sentAtNs.addLast(nowNs);
        if (sentAtNs.size() > allowed) {
            sentAtNs.pollFirst();
        }
    }

    /** Returns how long the next message has to wait, in nanoseconds; 0 if it may go now. */
    public long waitNs(long nowNs) {
        if (allowed == 0 || sentAtNs.size() < allowed) {
            return 0;
        }
        return Math.max(0, sentAtNs.peekFirst() + spanNs + 1 - nowNs);
    }
}
