package puffinbarrow.load;

import java.util.ArrayList;
import java.util.List;

/**
 * A timer wheel with slots of one millisecond: timers are scheduled and cancelled in constant time. A time-out further
 * away than the wheel is wide stays in its slot for another turn. Each Sender has one and uses it on its sending
 * thread; not thread-safe.
 */
final class TimerWheel<T extends TimerWheel.Entry> {
    /** What can time out. It is cancelled by {@link #finished} becoming true. */
    interface Entry {
        /** Whether the time-out is no longer needed. */
        boolean finished();

        /** When it times out, in nanoseconds on the clock that the wheel is advanced by. */
        long timeoutAtNs();
    }

    private static final long SLOT_NS = 1_000_000;
    /** 8192 slots, some eight seconds: longer than the usual expiry of flows. */
    private static final int SLOTS = 8192;

    private final List<List<T>> slots = new ArrayList<>(SLOTS);
    /** The last slot time, in milliseconds, that the wheel has been advanced to. */
    private long advancedToMs;

    TimerWheel(long nowNs) {
        advancedToMs = nowNs / SLOT_NS;
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>(0));
        }
    }

    /** Schedules an entry; one that is already due comes with the next slot. */
    void schedule(T entry) {
        slots.get((int) (Math.max(advancedToMs + 1, entry.timeoutAtNs() / SLOT_NS + 1) % SLOTS))
                .add(entry);
    }

    /** Advances the wheel to the given time and adds the entries that are due to the list. Drops finished entries. */
    void advance(long nowNs, List<T> due) {
        long nowMs = nowNs / SLOT_NS;
        for (; advancedToMs < nowMs; advancedToMs++) {
            List<T> slot = slots.get((int) ((advancedToMs + 1) % SLOTS));
            if (slot.isEmpty()) {
                continue;
            }
            List<T> later = new ArrayList<>(0);
            for (T entry : slot) {
                if (entry.finished()) {
                    continue;
                }
                (entry.timeoutAtNs() <= nowNs ? due : later).add(entry);
            }
            slot.clear();
            slot.addAll(later);
        }
    }
}
