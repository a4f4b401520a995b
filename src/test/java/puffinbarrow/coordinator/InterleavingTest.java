package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.lincheck.Lincheck;
import org.junit.jupiter.api.Test;

/**
 * Where the channels' threads meet the decisions', under a model checker that plays their steps in many orders (Lincheck):
 * whatever comes in is decided once. The lease holder has one lock around all it does, which leaves nothing to order.
 */
class InterleavingTest {
    /** An inbox that counts without atomics is found within these. */
    private static final int ORDERS = 300;

    private static Input input(int number) {
        return new Input.FromPeer(number, "");
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException(what);
        }
    }

    @Test
    void nothingThatIsOfferedWhileOthersDrainIsLostOrDoubled() {
        Lincheck.runConcurrentTest(ORDERS, () -> {
            Inbox<Input> inbox = new Inbox<>(2);
            AtomicInteger resumed = new AtomicInteger();
            int[] stops = new int[1];
            Thread producer = new Thread(() -> {
                for (int i = 0; i < 3; i++) {
                    if (!inbox.offer(input(i))) {
                        stops[0]++;
                        inbox.stopped(resumed::incrementAndGet);
                    }
                }
            });
            producer.start();
            List<Input> seen = new ArrayList<>(inbox.drain());
            seen.addAll(inbox.drain());
            join(producer);
            while (!inbox.isEmpty()) {
                seen.addAll(inbox.drain());
            }
            check(seen.size() == 3, "drained " + seen);
            for (int i = 0; i < 3; i++) {
                check(((Input.FromPeer) seen.get(i)).sender() == i, "out of order: " + seen);
            }
            check(resumed.get() == stops[0], "stopped " + stops[0] + " times, resumed " + resumed);
            check(inbox.size() == 0, "size " + inbox.size());
        });
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException stop) {
            throw new IllegalStateException(stop);
        }
    }
}
