package puffinbarrow.control;

import java.util.List;

/** What a host asks of a coordinator's decisions: all that came in at one time goes in, orders come out. */
public interface Controller {
    List<Order> handle(long nowNs, List<Event> events);

    /** Makes a coordinator that knows nothing but its settings and the seed of its chance. */
    interface Factory {
        Controller start(Settings settings, long seed);
    }
}
