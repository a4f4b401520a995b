package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.MessageWindow;
import puffinbarrow.net.Link;

/** Messages that the service sends besides those of the orders are reported, and the limit on messages is kept. */
@Timeout(120)
class MessageLimitTest extends ServiceFixture {
    private static final long SPAN_NS = 1_500_000_000;

    private void startWithAnswers(List<Order> orders, String... answers) throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(answers));
        start(orders);
    }

    /** Guards against calls that were taken twice and counted once by the decisions. */
    @Test
    void repeatedCallThatMayHaveBeenTakenIsReportedAsAnExtraMessage() throws Exception {
        startWithAnswers(List.of(new Order.Mask("s1", true)), DISCONNECT, accepted(1));
        awaitEvent(new Event.ExtraMessage());
        await(() -> counters.value("calls.taken") == 1);
        assertEquals(1, counters.value("messages.extra"));
    }

    @Test
    void callThatWasSurelyNotTakenIsNotReported() throws Exception {
        startWithAnswers(List.of(new Order.Mask("s1", true)), "BUSY", "BUSY", accepted(1));
        await(() -> counters.value("calls.taken") == 1);
        assertEquals(0, counters.value("messages.extra"));
        assertFalse(controllerEvents.contains(new Event.ExtraMessage()));
    }

    @Test
    void restOfACallAfterARefusedOrderIsReported() throws Exception {
        startWithAnswers(
                List.of(new Order.Mask("s1", true), new Order.Mask("s9", true), new Order.Mask("s1", false)),
                accepted(1),
                accepted(1));
        awaitEvent(new Event.ExtraMessage());
    }

    /** Guards against a breach of the limit by calls that broke: each of them may have been taken. */
    @Test
    void callThatWouldPassTheLimitWaitsUntilTheSpanHasPassed() throws Exception {
        domainSettings = ",\"PushesAllowed\":2,\"CountedOverNs\":" + SPAN_NS;
        startWithAnswers(List.of(new Order.Mask("s1", true)), HOLD, DISCONNECT, accepted(1));
        Link first = relay.awaitHeldRequest();
        long brokenAtNs = System.nanoTime();
        first.close();
        await(() -> counters.value("calls.taken") == 1);
        assertTrue(System.nanoTime() - brokenAtNs >= SPAN_NS, "three messages within the span");
        assertEquals(3, relay.requests().size());
    }

    @Test
    void windowCountsFromTheEndOfEachCall() {
        MessageWindow window = new MessageWindow(2, 100);
        window.add(5);
        assertEquals(0, window.waitNs(5));
        window.add(30);
        assertEquals(76, window.waitNs(30));
        assertEquals(0, window.waitNs(106));
        window.add(110);
        assertEquals(21, window.waitNs(110));
        assertEquals(0, new MessageWindow(0, 100).waitNs(0));
    }
}
