package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.memory.Keeper;
import puffinbarrow.memory.Notes;
import puffinbarrow.memory.Recall;

/** Joins a core to a keeper: notes what passes, hands changes over twice a second, recalls at the first list. */
final class Remembering implements Core.Memory {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.memory");
    /** Twice a second: a restart then knows what a round of sums ago was known. */
    private static final long EVERY_NS = 500_000_000L;

    private final Keeper keeper;
    private final Notes notes;
    private long nextAt = Long.MIN_VALUE;

    Remembering(Keeper keeper, long incarnation) {
        this.keeper = keeper;
        this.notes = new Notes(incarnation);
        notes.resume(keeper.remembered());
    }

    private static long wall() {
        return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
    }

    @Override
    public List<Event.Recalled> recall(List<Event.Entry> list) {
        List<String> words = new ArrayList<>();
        List<Event.Recalled> events = Recall.of(keeper.remembered(), list, wall(), words);
        words.forEach(LOG::info);
        if (!events.isEmpty()) {
            LOG.atInfo().addKeyValue("facts", events.size()).log("recalled");
        }
        return events;
    }

    @Override
    public void decided(long now, List<Event> events, List<Order> orders, Controller controller) {
        long wall = wall();
        notes.heard(wall, events);
        notes.ordered(orders);
        if (now >= nextAt) {
            nextAt = now + EVERY_NS;
            keeper.offer(notes.changed(wall, now, false, controller.known()));
        }
    }

    @Override
    public void ends(Controller controller) {
        keeper.offer(notes.changed(wall(), System.nanoTime(), true, controller.known()));
    }
}
