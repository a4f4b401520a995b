package puffinbarrow.emulator;

import java.util.Arrays;

/**
 * A calendar queue (R. Brown, CACM 31(10), 1988): days of equal length in a ring of buckets, each a sorted list; a year
 * is once round. Days are as long as a few events take, and are laid anew when the queue has doubled or halved. Kept as
 * the baseline that {@link Heap} is measured against.
 */
public final class Calendar implements Agenda {
    private static final class Entry {
        final long at, number;
        final Runnable what;
        Entry next;

        Entry(long at, long number, Runnable what) {
            this.at = at;
            this.number = number;
            this.what = what;
        }
    }

    private static final int LEAST_BUCKETS = 16;
    /** Brown's: three events a day on average. */
    private static final int A_DAY = 3;
    /** Events near the head whose mean gap sets a day's length. */
    private static final int SAMPLE = 64;

    private Entry[] buckets = new Entry[LEAST_BUCKETS];
    private long dayNs = 1_000_000;
    private int size;
    private long added;
    /** No event lies before this time. */
    private long from;

    private Entry head;

    @Override
    public void add(long atNs, Runnable what) {
        insert(new Entry(atNs, added++, what));
        if (++size > 2 * buckets.length) {
            lay(2 * buckets.length);
        }
    }

    private int bucket(long at) {
        return (int) (at / dayNs & buckets.length - 1);
    }

    private void insert(Entry entry) {
        int bucket = bucket(entry.at);
        Entry before = null;
        Entry next = buckets[bucket];
        while (next != null && (next.at < entry.at || next.at == entry.at && next.number < entry.number)) {
            before = next;
            next = next.next;
        }
        entry.next = next;
        if (before == null) {
            buckets[bucket] = entry;
        } else {
            before.next = entry;
        }
        if (head != null && entry.at < head.at) {
            head = entry;
        }
        from = Math.min(from, entry.at);
    }

    /** The first event: day by day for a year, else by looking at the head of every bucket. */
    private Entry first() {
        if (head != null || size == 0) {
            return head;
        }
        long day = from / dayNs;
        for (int i = 0; i < buckets.length; i++, day++) {
            Entry entry = buckets[(int) (day & buckets.length - 1)];
            if (entry != null && entry.at / dayNs == day) {
                head = entry;
                return head;
            }
        }
        for (Entry entry : buckets) {
            if (entry != null
                    && (head == null || entry.at < head.at || entry.at == head.at && entry.number < head.number)) {
                head = entry;
            }
        }
        return head;
    }

    @Override
    public long nextNs() {
        return size == 0 ? Long.MAX_VALUE : first().at;
    }

    @Override
    public Runnable take() {
        Entry entry = first();
        buckets[bucket(entry.at)] = entry.next;
        head = null;
        from = entry.at;
        if (--size < buckets.length / 2 && buckets.length > LEAST_BUCKETS) {
            lay(buckets.length / 2);
        }
        return entry.what;
    }

    private void lay(int count) {
        Entry[] all = new Entry[size];
        int n = 0;
        for (Entry bucket : buckets) {
            for (Entry entry = bucket; entry != null; entry = entry.next) {
                all[n++] = entry;
            }
        }
        Arrays.sort(all, (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
        int sample = Math.min(SAMPLE, n - 1);
        long span = sample > 0 ? all[sample].at - all[0].at : 0;
        dayNs = Math.max(1, sample > 0 ? A_DAY * span / sample : dayNs);
        buckets = new Entry[count];
        head = null;
        // Latest first: each goes in front of its bucket at once.
        for (int i = n - 1; i >= 0; i--) {
            int bucket = bucket(all[i].at);
            all[i].next = buckets[bucket];
            buckets[bucket] = all[i];
        }
    }

    @Override
    public int size() {
        return size;
    }
}
