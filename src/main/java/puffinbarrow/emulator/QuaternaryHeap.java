package puffinbarrow.emulator;

import java.util.Arrays;

/**
 * An event queue as a 4-ary heap on plain arrays: half as deep as a binary heap, and the four children of a node lie
 * in one or two cache lines. docs/design-emulator.md compares it with a calendar queue and the binary heap of the
 * library.
 */
public final class QuaternaryHeap implements EventQueue {
    /**
     * Times, sequence numbers and actions of the events, in the order of the heap; the sequence number orders events
     * of the same time.
     */
    private long[] times = new long[1024];

    private long[] sequences = new long[1024];
    private Runnable[] actions = new Runnable[1024];
    private int size;
    private long nextSequence;

    @Override
    public void add(long atNs, Runnable action) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            sequences = Arrays.copyOf(sequences, 2 * size);
            actions = Arrays.copyOf(actions, 2 * size);
        }
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) >> 2;
            // The new event was added last, so it never goes before one of the same time.
            if (times[parent] <= atNs) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        times[hole] = atNs;
        sequences[hole] = nextSequence++;
        actions[hole] = action;
    }

    /** Copies an event from one position to another. */
    private void move(int from, int to) {
        times[to] = times[from];
        sequences[to] = sequences[from];
        actions[to] = actions[from];
    }

    @Override
    public long nextTimeNs() {
        return size == 0 ? Long.MAX_VALUE : times[0];
    }

    @Override
    public Runnable removeNext() {
        Runnable first = actions[0];
        int last = --size;
        long lastAtNs = times[last];
        long lastSequence = sequences[last];
        Runnable lastAction = actions[last];
        actions[last] = null;
        if (last > 0) {
            int hole = 0;
            for (int child = 1; child < last; child = 4 * hole + 1) {
                int smallest = child;
                for (int other = child + 1; other < Math.min(child + 4, last); other++) {
                    if (times[other] < times[smallest]
                            || times[other] == times[smallest] && sequences[other] < sequences[smallest]) {
                        smallest = other;
                    }
                }
                if (lastAtNs < times[smallest] || lastAtNs == times[smallest] && lastSequence < sequences[smallest]) {
                    break;
                }
                move(smallest, hole);
                hole = smallest;
            }
            times[hole] = lastAtNs;
            sequences[hole] = lastSequence;
            actions[hole] = lastAction;
        }
        return first;
    }

    @Override
    public int size() {
        return size;
    }
}
