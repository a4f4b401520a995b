package puffinbarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Recall;
import puffinbarrow.control.Order;

/** Tests which stored facts are still used, and the facts that {@link FactCollector} derives. */
class RecallFilterTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;
    private static final long NOW = 1_000_000 * SECOND;
    private final Facts.Image image = new Facts.Image();
    private final List<String> messages = new ArrayList<>();

    private void putSelf(long ago, double calm, double shed, boolean overloaded) {
        image.put(new Facts.CoordinatorFact(NOW - ago, 0, 1, false, List.of(), calm, calm, shed, overloaded));
    }

    private void putServer(String id, long ago, long started, long holdNs, long... fellAgo) {
        List<Long> falls = new ArrayList<>();
        for (long fell : fellAgo) {
            falls.add(NOW - fell);
        }
        image.put(new Facts.ServerFact(id, NOW - ago, 0, List.of(started), falls, List.of(), "well", holdNs, 1, 1, 0));
    }

    private static Event.Entry listed(String id, long started) {
        return new Event.Entry(id, 0, 0, 0, Event.Listed.READY, 1, started);
    }

    private double confidence(Recall kind, String server, Event.Entry... list) {
        return RecallFilter.recalledEvents(image, List.of(list), NOW, messages).stream()
                .filter(e -> e.kind() == kind && e.server().equals(server))
                .mapToDouble(Event.Recalled::confidence)
                .findFirst()
                .orElse(0);
    }

    @Test
    void confidenceDecaysByTheHalfLifeOfTheKind() {
        putSelf(10 * SECOND, 3, 0.5, true);
        assertEquals(0.5, confidence(Recall.SHED, ""), 1e-9);
        assertEquals(0.5, confidence(Recall.STRAINED, ""), 1e-9);
        assertTrue(confidence(Recall.CALM_LOAD, "") > 0.999);
        putSelf(2 * MINUTE, 3, 0.5, true);
        assertEquals(0, confidence(Recall.SHED, ""));
    }

    @Test
    void severalRecentFallsAreFlappingAndOneIsNot() {
        putSelf(SECOND, 0, 0, false);
        putServer("once", SECOND, 5, 0, MINUTE);
        putServer("often", SECOND, 5, 0, MINUTE, 2 * MINUTE, 3 * MINUTE);
        putServer("longAgo", SECOND, 5, 0, 60 * MINUTE, 61 * MINUTE, 62 * MINUTE);
        assertEquals(0, confidence(Recall.FLAPPING, "once", listed("once", 5)));
        assertTrue(confidence(Recall.FLAPPING, "often", listed("often", 5)) > 0.9);
        assertEquals(0, confidence(Recall.FLAPPING, "longAgo", listed("longAgo", 5)));
    }

    @Test
    void currentListTakesPrecedenceOverMemory() {
        putSelf(SECOND, 0, 0, false);
        putServer("a", SECOND, 5, 12 * SECOND);
        assertTrue(confidence(Recall.HOLD_NS, "a", listed("a", 5)) > 0.9);
        assertEquals(0, confidence(Recall.HOLD_NS, "a", listed("a", 6)), "a restarted server is not held");
        assertEquals(0, confidence(Recall.HOLD_NS, "a", listed("b", 5)), "a server that is not listed is ignored");
        assertEquals(0, confidence(Recall.HOLD_NS, "a", new Event.Entry("a", 0, 0, 0, Event.Listed.DRAINING, 1, 5)));
    }

    @Test
    void oldFutureAndEmptyMemoryAreIgnored() {
        putServer("a", SECOND, 5, 12 * SECOND, MINUTE, MINUTE);
        assertEquals(List.of(), RecallFilter.recalledEvents(image, List.of(listed("a", 5)), NOW, messages));
        putSelf(8 * 24 * 60 * MINUTE, 3, 1, true);
        assertEquals(List.of(), RecallFilter.recalledEvents(image, List.of(listed("a", 5)), NOW, messages));
        assertTrue(messages.toString().contains("8 days old"));
        putSelf(-3600 * SECOND, 3, 1, true);
        assertEquals(List.of(), RecallFilter.recalledEvents(image, List.of(listed("a", 5)), NOW, messages));
        assertTrue(messages.toString().contains("3600 s ahead"));
    }

    @Test
    void collectorDerivesFactsFromEventsAndContinuesAfterARestart() {
        FactCollector collector = new FactCollector(1);
        collector.recordEvents(
                NOW,
                List.of(
                        new Event.ServerList(Event.ListKind.WHOLE, List.of(listed("a", 5), listed("b", 5))),
                        new Event.SliceCharge(3, true)));
        collector.recordEvents(
                NOW + 1,
                List.of(new Event.ServerList(
                        Event.ListKind.PATCH, List.of(new Event.Entry("a", 0, 0, 0, Event.Listed.GONE, 1, 5)))));
        collector.recordOrders(List.of(new Order.SetLine(3, "b", 1), new Order.SetLine(3, "a", 0)));
        collector.takeChangedFacts(NOW + 2, 0, false, List.of()).forEach(image::put);
        FactCollector later = new FactCollector(2);
        later.resume(image);
        later.recordEvents(
                NOW + 10, List.of(new Event.ServerList(Event.ListKind.WHOLE, List.of(listed("a", 9), listed("b", 5)))));
        later.recordEvents(NOW + 11, List.of(new Event.ServerList(Event.ListKind.PATCH, List.of(listed("a", 11)))));
        later.takeChangedFacts(
                        NOW + 12,
                        0,
                        true,
                        List.of(
                                new Event.Recalled(Recall.HOLD_NS, "b", 6, 1),
                                new Event.Recalled(Recall.SHED, "", 0.5, 1)))
                .forEach(image::put);
        Facts.ServerFact a = (Facts.ServerFact) image.get("server a");
        Facts.ServerFact b = (Facts.ServerFact) image.get("server b");
        assertEquals(List.of(5L, 9L, 11L), a.starts());
        assertEquals(3, a.falls().size(), "removed once, restarted twice while listed");
        assertEquals(6, b.holdNs());
        assertEquals("held", b.state());
        assertEquals(List.of(new Facts.Line("b", 1)), ((Facts.SliceFact) image.get("slice 3")).lines());
        assertTrue(image.self().cleanShutdown());
        assertEquals(0.5, image.self().shed());
    }
}
