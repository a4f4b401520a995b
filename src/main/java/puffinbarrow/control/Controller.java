package puffinbarrow.control;

import java.util.List;

/**
 * The decision logic of one coordinator. The host passes in the events that arrived together and carries out the orders
 * returned. An instance is called by one thread at a time.
 */
public interface Controller {
    /**
     * Applies events and returns the orders that follow from them, to be carried out in this order.
     *
     * @param nowNs time on the host's clock
     */
    List<Order> handle(long nowNs, List<Event> events);

    /** Returns the facts to keep across a restart, after which they are passed in as events. Called at intervals. */
    default List<Event.Recalled> rememberedState() {
        return List.of();
    }

    /** Creates the controller of a coordinator that starts. */
    interface Factory {
        /** Returns a controller without any state; {@code seed} determines all its random choices. */
        Controller start(Settings settings, long seed);
    }
}
