package puffinbarrow.control;

import java.util.List;

/** What a host asks of a coordinator's decisions: all that came in at one time goes in, orders come out. */
public interface Controller {
    List<Order> handle(long nowNs, List<Event> events);

    /** What it has learned and would want to hear of again after a restart; asked for now and then. */
    default List<Event.Recalled> known() {
        return List.of();
    }

    /** Makes a coordinator that knows nothing but its settings and the seed of its chance. */
    interface Factory {
        Controller start(Settings settings, long seed);
    }
}
