package puffinbarrow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static puffinbarrow.FakeHost.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Listed;

/** Where messages to proxies are limited, each drain is ordered in time and the limit is kept. */
class DrainPacingTest {
    /** The part of the grace period within which a mask is to be ordered; the rest is the channel's. */
    private static final long ORDERED_WITHIN_NS = FakeHost.GRACE_NS / 2;

    private static final long MESSAGES_SPAN_NS = 10 * SECOND;

    private final List<Long> pushTimesNs = new ArrayList<>();
    /** Drains that are not ordered yet, with the time of the list that told them. */
    private final Map<String, Long> openDrains = new TreeMap<>();

    private void drain(FakeHost host, String server) {
        host.list(server, Listed.DRAINING, 0);
        openDrains.put(server, host.nowNs);
    }

    private static boolean canBeSentTo(FakeHost host, String server) {
        return !host.masks.contains(server)
                && host.tables.values().stream().anyMatch(table -> table.containsKey(server));
    }

    /** Lets time pass in single steps and checks each drain and the number of messages. */
    private void run(FakeHost host, double seconds, int allowed) {
        for (long untilNs = host.nowNs + (long) (seconds * SECOND); host.nowNs < untilNs; ) {
            long stepNs = host.nowNs;
            int before = host.pushes.size();
            host.run(FakeHost.STEP_NS / (double) SECOND);
            for (int i = before; i < host.pushes.size(); i++) {
                pushTimesNs.add(stepNs);
            }
            openDrains.keySet().removeIf(server -> !canBeSentTo(host, server));
            openDrains.forEach((server, toldNs) -> assertTrue(
                    stepNs - toldNs <= ORDERED_WITHIN_NS,
                    () -> server + " not masked " + (stepNs - toldNs) + " ns on"));
            long inSpan = pushTimesNs.stream()
                    .filter(time -> stepNs - time <= MESSAGES_SPAN_NS)
                    .count();
            assertTrue(inSpan <= allowed, () -> inSpan + " messages");
        }
    }

    /** Guards against drains that wait out the message limit, which the drains just before them had used up. */
    @ParameterizedTest
    @CsvSource({"12, 0.25", "12, 0.5", "12, 0.75", "20, 0.25", "20, 0.5"})
    void drainsThatComeOneByOneAreEachOrderedInTime(int allowed, double gapSeconds) {
        FakeHost host = new FakeHost(FakeHost.settings(56, false, allowed));
        host.start(28, 56);
        run(host, 2, allowed);
        for (int i = 0; i < 24; i++) {
            drain(host, "s" + i);
            run(host, gapSeconds, allowed);
        }
        run(host, 10, allowed);
    }

    /** Guards against repeated calls of the host that pass the limit together with the pushes. */
    @Test
    void messagesThatTheHostRepeatsCountAgainstTheLimit() {
        FakeHost host = new FakeHost(FakeHost.settings(56, false, 12));
        host.start(56, 56);
        run(host, 2, 12);
        for (int i = 0; i < 48; i++) {
            if (i % 12 == 0) {
                host.queue(new Event.ExtraMessage());
                pushTimesNs.add(host.nowNs);
            }
            host.list("s" + i, Listed.DRAINING, 0);
            run(host, 0.25, 12);
        }
        run(host, 10, 12);
        for (int i = 0; i < 48; i++) {
            assertFalse(canBeSentTo(host, "s" + i));
        }
    }

    /** Guards against drains that wait out the limit after any mixture of drains, pauses and returns. */
    @Test
    void drainsAtRandomTimesAreOrderedInTime() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            FakeHost host = new FakeHost(FakeHost.settings(40, false, 12));
            host.start(20, 40);
            for (int i = 0; i < 60; i++) {
                String server = "s" + i % 16;
                if (i / 16 % 2 == 0) {
                    drain(host, server);
                } else {
                    host.list(server, Listed.READY, 0);
                }
                run(host, random.nextInt(10) == 0 ? 4 : 0.25 * random.nextInt(5), 12);
            }
            openDrains.clear();
            pushTimesNs.clear();
        }
    }
}
