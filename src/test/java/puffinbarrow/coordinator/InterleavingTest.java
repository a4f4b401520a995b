package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.Lincheck;
import org.junit.jupiter.api.Test;

/**
 * The inbox between connection threads and the decision thread under Lincheck, a model checker that runs their steps in
 * many interleavings: every input is drained exactly once. The lease holder needs no such test, as one lock guards all
 * of its state.
 */
class InterleavingTest {
    /** Enough to find an inbox whose size is counted without atomics. */
    private static final int INTERLEAVINGS = 300;

    private static Input input(int number) {
        return new Input.FromPeer(number, "");
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException(what);
        }
    }

    @Test
    void inputsOfferedDuringADrainAreDrainedExactlyOnce() {
        Lincheck.runConcurrentTest(INTERLEAVINGS, () -> {
            Inbox<Input> inbox = new Inbox<>(2);
            AtomicInteger resumed = new AtomicInteger();
            int[] stops = new int[1];
            Thread producer = new Thread(() -> {
                for (int i = 0; i < 3; i++) {
                    if (!inbox.offer(input(i))) {
                        stops[0]++;
                        inbox.resumeAfterDrain(resumed::incrementAndGet);
                    }
                }
            });
            producer.start();
            List<Input> drained = new ArrayList<>(inbox.drain());
            drained.addAll(inbox.drain());
            join(producer);
            while (!inbox.isEmpty()) {
                drained.addAll(inbox.drain());
            }
            check(drained.size() == 3, "drained " + drained);
            for (int i = 0; i < 3; i++) {
                check(((Input.FromPeer) drained.get(i)).sender() == i, "out of order: " + drained);
            }
            check(resumed.get() == stops[0], "stopped " + stops[0] + " times, resumed " + resumed);
            check(inbox.size() == 0, "size " + inbox.size());
        });
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
