package puffinbarrow;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts the messages sent to each proxy within a sliding span and tells when the next one may be sent. Used by
 * {@link Logic} on its thread.
 *
 * <p>It is not enough to stay below the allowed number: if a burst used it up, a change that comes next would wait until
 * the burst leaves the span. So a message may be sent only if from then on one could be sent in every interval of a
 * given length.
 */
final class MessageBudget {
    private final long spanNs;
    private final int allowed;
    private final long intervalNs;
    /** Times of the messages that are still within the span, in order. */
    private final List<Long> sentAtNs = new ArrayList<>();

    /**
     * Creates a budget of which nothing is used.
     *
     * @param allowed messages allowed within the span; 1 or more
     * @param intervalNs time within which the next message must always be possible; at least {@code spanNs / allowed}
     */
    MessageBudget(long spanNs, int allowed, long intervalNs) {
        this.spanNs = spanNs;
        this.allowed = allowed;
        this.intervalNs = intervalNs;
    }

    /** Records a message. */
    void add(long atNs) {
        forgetBefore(atNs);
        sentAtNs.add(atNs);
    }

    /** Returns the number of messages within the span that ends now. */
    int count(long nowNs) {
        forgetBefore(nowNs);
        return sentAtNs.size();
    }

    /**
     * Returns the earliest time at which a message may be sent. The message sent k intervals later finds room if all but
     * {@code allowed - 1 - k} of the present ones have left the span by then.
     */
    long nextNs() {
        long next = Long.MIN_VALUE;
        for (int later = 0; later < allowed; later++) {
            int lastToLeave = sentAtNs.size() - allowed + later;
            if (lastToLeave >= 0) {
                next = Math.max(next, sentAtNs.get(lastToLeave) + spanNs + 1 - later * intervalNs);
            }
        }
        return next;
    }

    private void forgetBefore(long nowNs) {
        while (!sentAtNs.isEmpty() && nowNs - sentAtNs.get(0) > spanNs) {
            sentAtNs.remove(0);
        }
    }
}
