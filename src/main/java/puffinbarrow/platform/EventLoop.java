package puffinbarrow.platform;

import puffinbarrow.control.Event;

/** The decision thread as its relay and discovery clients see it; implemented by {@link Service}. */
interface EventLoop {
    /** Runs the task on the decision thread, in the order of submission; may be called from any thread. */
    void execute(Runnable task);

    /** Adds the event to the next batch for the controller; called on the decision thread only. */
    void enqueue(Event event);

    CounterRegistry counters();
}
