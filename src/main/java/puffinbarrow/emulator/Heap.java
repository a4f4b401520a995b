package puffinbarrow.emulator;

import java.util.Arrays;

/**
 * A heap of four children a node on plain arrays: half as deep as a binary one, and the four children lie in one or two
 * cache lines. docs/design-emulator.md has it weighed against a calendar queue and the library's binary heap.
 */
public final class Heap implements Agenda {
    private long[] at = new long[1024];
    private long[] number = new long[1024];
    private Runnable[] what = new Runnable[1024];
    private int size;
    private long added;

    @Override
    public void add(long atNs, Runnable work) {
        if (size == at.length) {
            at = Arrays.copyOf(at, 2 * size);
            number = Arrays.copyOf(number, 2 * size);
            what = Arrays.copyOf(what, 2 * size);
        }
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) >> 2;
            // Added later, so it never goes before one of the same time.
            if (at[parent] <= atNs) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        at[hole] = atNs;
        number[hole] = added++;
        what[hole] = work;
    }

    private void move(int from, int to) {
        at[to] = at[from];
        number[to] = number[from];
        what[to] = what[from];
    }

    @Override
    public long nextNs() {
        return size == 0 ? Long.MAX_VALUE : at[0];
    }

    @Override
    public Runnable take() {
        Runnable first = what[0];
        int last = --size;
        long lastAt = at[last];
        long lastNumber = number[last];
        Runnable lastWhat = what[last];
        what[last] = null;
        if (last > 0) {
            int hole = 0;
            for (int child = 1; child < last; child = 4 * hole + 1) {
                int least = child;
                for (int other = child + 1; other < Math.min(child + 4, last); other++) {
                    if (at[other] < at[least] || at[other] == at[least] && number[other] < number[least]) {
                        least = other;
                    }
                }
                if (lastAt < at[least] || lastAt == at[least] && lastNumber < number[least]) {
                    break;
                }
                move(least, hole);
                hole = least;
            }
            at[hole] = lastAt;
            number[hole] = lastNumber;
            what[hole] = lastWhat;
        }
        return first;
    }

    @Override
    public int size() {
        return size;
    }
}
