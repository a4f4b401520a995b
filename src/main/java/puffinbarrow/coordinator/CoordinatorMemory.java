package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.memory.FactCollector;
import puffinbarrow.memory.FactWriter;
import puffinbarrow.memory.RecallFilter;

/**
 * The core's memory on disk: records events and orders, passes changes to the {@link FactWriter} twice a second, and
 * at the first server list recalls what an earlier process learned. Runs on the decision thread; the writer has a
 * thread of its own.
 */
final class CoordinatorMemory implements CoordinatorCore.Memory {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.memory");
    /** A restart loses no more than about one reporting round. */
    private static final long SAVE_INTERVAL_NS = 500_000_000L;

    private final FactWriter factWriter;
    private final FactCollector factCollector;
    private long nextSaveNs = Long.MIN_VALUE;

    CoordinatorMemory(FactWriter factWriter, long incarnation) {
        this.factWriter = factWriter;
        this.factCollector = new FactCollector(incarnation);
        factCollector.resume(factWriter.remembered());
    }

    /** Returns the wall-clock time in nanoseconds since the epoch. */
    private static long wallClockNs() {
        return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
    }

    @Override
    public List<Event.Recalled> recall(List<Event.Entry> list) {
        List<String> summaries = new ArrayList<>();
        List<Event.Recalled> events =
                RecallFilter.recalledEvents(factWriter.remembered(), list, wallClockNs(), summaries);
        summaries.forEach(LOG::info);
        if (!events.isEmpty()) {
            LOG.atInfo().addKeyValue("facts", events.size()).log("recalled");
        }
        return events;
    }

    @Override
    public void recordTurn(long now, List<Event> events, List<Order> orders, Controller controller) {
        long wallNs = wallClockNs();
        factCollector.recordEvents(wallNs, events);
        factCollector.recordOrders(orders);
        if (now >= nextSaveNs) {
            nextSaveNs = now + SAVE_INTERVAL_NS;
            factWriter.offer(factCollector.takeChangedFacts(wallNs, now, false, controller.rememberedState()));
        }
    }

    @Override
    public void shutDown(Controller controller) {
        factWriter.offer(
                factCollector.takeChangedFacts(wallClockNs(), System.nanoTime(), true, controller.rememberedState()));
    }
}
