package puffinbarrow.coordinator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The one channel that all messages to proxies leave by, one after the other, at a set number of lines a second; a
 * message counts its lines and a head. No I/O and no clock of its own. It holds two limits however wrong the orders
 * are: lines that wait, and messages to one proxy within a span. A message that would break one is not queued, and
 * the caller cuts that proxy off: it joins again and is told anew, which loses nothing, where a message silently
 * dropped would.
 */
final class PacedChannel {
    record Message(int proxy, Outlet to, ByteBuffer bytes, double lines, long orderedAtNs) {}

    enum Taken {
        QUEUED,
        QUEUE_FULL,
        TOO_MANY_MESSAGES
    }

    private final double limit;
    private final double linesPerS;
    private final int messages;
    private final long spanNs;
    private final ArrayDeque<Message> queue = new ArrayDeque<>();
    private final Map<Integer, ArrayDeque<Long>> written = new HashMap<>();
    private double waiting;
    private double most;
    private double part = 1;
    /** When the message at the head has left, were it to begin when the one before it was done. */
    private long freeAtNs = Long.MIN_VALUE;

    private long sent;
    private double sentLines;

    PacedChannel(double limit, double linesPerS, int messages, long spanNs) {
        this.limit = limit;
        this.linesPerS = linesPerS;
        this.messages = messages;
        this.spanNs = spanNs;
    }

    Taken offer(long now, Message message) {
        if (waiting + message.lines > limit) {
            return Taken.QUEUE_FULL;
        }
        if (messages > 0) {
            ArrayDeque<Long> times = written.computeIfAbsent(message.proxy, p -> new ArrayDeque<>());
            while (!times.isEmpty() && now - times.peekFirst() > spanNs) {
                times.pollFirst();
            }
            if (times.size() >= messages) {
                return Taken.TOO_MANY_MESSAGES;
            }
            times.addLast(now);
        }
        if (queue.isEmpty()) {
            freeAtNs = Math.max(freeAtNs, now) + duration(message);
        }
        queue.addLast(message);
        waiting += message.lines;
        most = Math.max(most, waiting);
        return Taken.QUEUED;
    }

    private long duration(Message message) {
        return (long) (message.lines / (linesPerS * part) * 1e9);
    }

    /** The next message that has left by now, or null. */
    Message poll(long now) {
        Message head = queue.peekFirst();
        if (head == null || now < freeAtNs) {
            return null;
        }
        queue.pollFirst();
        waiting = queue.isEmpty() ? 0 : waiting - head.lines;
        sent++;
        sentLines += head.lines;
        Message next = queue.peekFirst();
        if (next != null) {
            freeAtNs += duration(next);
        }
        return head;
    }

    /** When {@link #poll} gives the next one; the end of time if nothing waits. */
    long nextAtNs() {
        return queue.isEmpty() ? Long.MAX_VALUE : freeAtNs;
    }

    /** A proxy's stream is gone: what waits for it is lost, and its count of messages begins anew. */
    void forget(int proxy) {
        Message head = queue.peekFirst();
        queue.removeIf(m -> m.proxy == proxy);
        written.remove(proxy);
        waiting = queue.stream().mapToDouble(Message::lines).sum();
        if (head != queue.peekFirst() && !queue.isEmpty()) {
            freeAtNs += duration(queue.peekFirst()) - duration(head);
        }
    }

    void pace(long now, double newPart) {
        if (!queue.isEmpty() && freeAtNs > now) {
            freeAtNs = now + (long) ((freeAtNs - now) * part / newPart);
        }
        part = newPart;
    }

    double waitingLines() {
        return waiting;
    }

    double mostWaiting() {
        return most;
    }

    long sentMessages() {
        return sent;
    }

    double sentLines() {
        return sentLines;
    }
}
