package puffinbarrow.load;

import java.util.ArrayList;
import java.util.List;

/**
 * A timer wheel: time-outs in slots of a millisecond, set and cancelled in constant time. A time-out further away
 * than the wheel is wide goes round. Not thread-safe; its owner turns it.
 */
final class Wheel<T extends Wheel.Timed> {
    /** What can time out; cancelled by {@link #done}. */
    interface Timed {
        boolean done();

        long timeoutAtNs();
    }

    private static final long SLOT_NS = 1_000_000;
    /** Eight seconds: above the expiry of the flows there are. */
    private static final int SLOTS = 8192;

    private final List<List<T>> slots = new ArrayList<>(SLOTS);
    private long turned;

    Wheel(long nowNs) {
        turned = nowNs / SLOT_NS;
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>(0));
        }
    }

    void set(T timed) {
        slots.get((int) (Math.max(turned + 1, timed.timeoutAtNs() / SLOT_NS + 1) % SLOTS))
                .add(timed);
    }

    /** Adds what is due by now to the list; what is done is dropped on the way. */
    void turn(long nowNs, List<T> due) {
        long until = nowNs / SLOT_NS;
        for (; turned < until; turned++) {
            List<T> slot = slots.get((int) ((turned + 1) % SLOTS));
            if (slot.isEmpty()) {
                continue;
            }
            List<T> later = new ArrayList<>(0);
            for (T timed : slot) {
                if (timed.done()) {
                    continue;
                }
                (timed.timeoutAtNs() <= nowNs ? due : later).add(timed);
            }
            slot.clear();
            slot.addAll(later);
        }
    }
}
