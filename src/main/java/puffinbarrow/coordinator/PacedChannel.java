package puffinbarrow.coordinator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The rate-limited queue through which all messages to proxies leave, one after the other, at a fixed number of lines a
 * second. The size of a message is its number of lines plus a fixed overhead. Two limits apply to all orders: the
 * lines waiting, and the messages to one proxy within a time window. A message over a limit is not queued, and the
 * caller disconnects its proxy, which reconnects and is sent the full state; dropping the message would lose it. Used
 * by {@link CoordinatorCore} on the decision thread; the time is passed in.
 */
final class PacedChannel {
    /** An encoded message; {@code lines} is its size, overhead included. */
    record Message(int proxy, FrameSink to, ByteBuffer bytes, double lines, long orderedAtNs) {}

    /** Whether a message was queued, or which limit it was over. */
    enum OfferResult {
        QUEUED,
        QUEUE_FULL,
        TOO_MANY_MESSAGES
    }

    private final double maxWaitingLines;
    private final double linesPerS;
    /** Messages allowed to one proxy within {@link #windowNs}; 0: any number. */
    private final int maxMessages;

    private final long windowNs;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    /** The messages queued for each proxy. */
    private final Map<Integer, MessageWindow> messageWindows = new HashMap<>();
    /** Lines in the queue. */
    private double waiting;

    private double peakWaiting;
    /** The fraction of the configured rate at which lines leave now, above 0 and up to 1. */
    private double paceFraction = 1;
    /** When the message at the head has been sent in full at the current pace. */
    private long headSentAtNs = Long.MIN_VALUE;

    private long sentMessages;
    private double sentLines;

    PacedChannel(double maxWaitingLines, double linesPerS, int maxMessages, long windowNs) {
        this.maxWaitingLines = maxWaitingLines;
        this.linesPerS = linesPerS;
        this.maxMessages = maxMessages;
        this.windowNs = windowNs;
    }

    /** Queues a message unless that would break a limit. */
    OfferResult offer(long now, Message message) {
        if (waiting + message.lines > maxWaitingLines) {
            return OfferResult.QUEUE_FULL;
        }
        if (maxMessages > 0) {
            MessageWindow window =
                    messageWindows.computeIfAbsent(message.proxy, p -> new MessageWindow(maxMessages, windowNs));
            if (window.waitNs(now) > 0) {
                return OfferResult.TOO_MANY_MESSAGES;
            }
            window.add(now);
        }
        if (queue.isEmpty()) {
            headSentAtNs = Math.max(headSentAtNs, now) + duration(message);
        }
        queue.addLast(message);
        waiting += message.lines;
        peakWaiting = Math.max(peakWaiting, waiting);
        return OfferResult.QUEUED;
    }

    /** Returns how long a message takes to send at the current pace, in nanoseconds. */
    private long duration(Message message) {
        return (long) (message.lines / (linesPerS * paceFraction) * 1e9);
    }

    /** Removes and returns the next message that is due by now, or returns null. */
    Message poll(long now) {
        Message head = queue.peekFirst();
        if (head == null || now < headSentAtNs) {
            return null;
        }
        queue.pollFirst();
        waiting = queue.isEmpty() ? 0 : waiting - head.lines;
        sentMessages++;
        sentLines += head.lines;
        Message next = queue.peekFirst();
        if (next != null) {
            headSentAtNs += duration(next);
        }
        return head;
    }

    /** Returns when {@link #poll} has the next message; Long.MAX_VALUE if none waits. */
    long nextAtNs() {
        return queue.isEmpty() ? Long.MAX_VALUE : headSentAtNs;
    }

    /** Discards the messages to a proxy whose connection ended, and resets its message count. */
    void removeProxy(int proxy) {
        Message head = queue.peekFirst();
        queue.removeIf(m -> m.proxy == proxy);
        messageWindows.remove(proxy);
        waiting = queue.stream().mapToDouble(Message::lines).sum();
        if (head != queue.peekFirst() && !queue.isEmpty()) {
            headSentAtNs += duration(queue.peekFirst()) - duration(head);
        }
    }

    /** Changes the pace; the rest of the message being sent takes proportionally longer or shorter. */
    void setPace(long now, double newFraction) {
        if (!queue.isEmpty() && headSentAtNs > now) {
            headSentAtNs = now + (long) ((headSentAtNs - now) * paceFraction / newFraction);
        }
        paceFraction = newFraction;
    }

    double waitingLines() {
        return waiting;
    }

    /** Returns the most lines that ever waited. */
    double peakWaitingLines() {
        return peakWaiting;
    }

    long sentMessages() {
        return sentMessages;
    }

    double sentLines() {
        return sentLines;
    }
}
