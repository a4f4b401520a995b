package puffinbarrow.emulator;

import java.util.Arrays;

/**
 * An event queue as a calendar queue (R. Brown, CACM 31(10), 1988): days of equal length in a ring of buckets, each a
 * sorted list; a year is one pass over the ring. A day is as long as a few events take; its length and the number of
 * buckets are adjusted when the queue has doubled or halved. Kept as the baseline that {@link QuaternaryHeap} is
 * measured against.
 */
public final class CalendarQueue implements EventQueue {
    /** An event in the list of its bucket; the sequence number orders events of the same time. */
    private static final class Entry {
        final long atNs;
        final long sequence;
        final Runnable action;
        Entry next;

        Entry(long atNs, long sequence, Runnable action) {
            this.atNs = atNs;
            this.sequence = sequence;
            this.action = action;
        }
    }

    private static final int MIN_BUCKETS = 16;
    /** Events per day on average, as Brown recommends. */
    private static final int EVENTS_PER_DAY = 3;
    /** Number of events near the head whose mean gap sets the length of a day. */
    private static final int SAMPLE_SIZE = 64;

    private Entry[] buckets = new Entry[MIN_BUCKETS];
    /** Length of a day. */
    private long dayNs = 1_000_000;

    private int size;
    private long nextSequence;
    /** No event is earlier than this time. */
    private long earliestNs;

    /** The first event if known, else null. */
    private Entry head;

    @Override
    public void add(long atNs, Runnable action) {
        insert(new Entry(atNs, nextSequence++, action));
        if (++size > 2 * buckets.length) {
            resize(2 * buckets.length);
        }
    }

    /** Returns the bucket of the day that a time belongs to. */
    private int bucket(long atNs) {
        return (int) (atNs / dayNs & buckets.length - 1);
    }

    /** Inserts an event into the sorted list of its bucket. */
    private void insert(Entry entry) {
        int bucket = bucket(entry.atNs);
        Entry before = null;
        Entry next = buckets[bucket];
        while (next != null && (next.atNs < entry.atNs || next.atNs == entry.atNs && next.sequence < entry.sequence)) {
            before = next;
            next = next.next;
        }
        entry.next = next;
        if (before == null) {
            buckets[bucket] = entry;
        } else {
            before.next = entry;
        }
        if (head != null && entry.atNs < head.atNs) {
            head = entry;
        }
        earliestNs = Math.min(earliestNs, entry.atNs);
    }

    /** Returns the first event: looks day by day for a year, then at the head of every bucket. */
    private Entry first() {
        if (head != null || size == 0) {
            return head;
        }
        long day = earliestNs / dayNs;
        for (int i = 0; i < buckets.length; i++, day++) {
            Entry entry = buckets[(int) (day & buckets.length - 1)];
            if (entry != null && entry.atNs / dayNs == day) {
                head = entry;
                return head;
            }
        }
        for (Entry entry : buckets) {
            if (entry != null
                    && (head == null
                            || entry.atNs < head.atNs
                            || entry.atNs == head.atNs && entry.sequence < head.sequence)) {
                head = entry;
            }
        }
        return head;
    }

    @Override
    public long nextTimeNs() {
        return size == 0 ? Long.MAX_VALUE : first().atNs;
    }

    @Override
    public Runnable removeNext() {
        Entry entry = first();
        buckets[bucket(entry.atNs)] = entry.next;
        head = null;
        earliestNs = entry.atNs;
        if (--size < buckets.length / 2 && buckets.length > MIN_BUCKETS) {
            resize(buckets.length / 2);
        }
        return entry.action;
    }

    /** Rebuilds the queue with so many buckets and a new length of days. */
    private void resize(int bucketCount) {
        Entry[] all = new Entry[size];
        int filled = 0;
        for (Entry bucket : buckets) {
            for (Entry entry = bucket; entry != null; entry = entry.next) {
                all[filled++] = entry;
            }
        }
        Arrays.sort(
                all, (a, b) -> a.atNs != b.atNs ? Long.compare(a.atNs, b.atNs) : Long.compare(a.sequence, b.sequence));
        int sample = Math.min(SAMPLE_SIZE, filled - 1);
        long spanNs = sample > 0 ? all[sample].atNs - all[0].atNs : 0;
        dayNs = Math.max(1, sample > 0 ? EVENTS_PER_DAY * spanNs / sample : dayNs);
        buckets = new Entry[bucketCount];
        head = null;
        // Latest first, so that each event goes to the front of its bucket.
        for (int i = filled - 1; i >= 0; i--) {
            int bucket = bucket(all[i].atNs);
            all[i].next = buckets[bucket];
            buckets[bucket] = all[i];
        }
    }

    @Override
    public int size() {
        return size;
    }
}
