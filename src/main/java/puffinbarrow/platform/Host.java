package puffinbarrow.platform;

import puffinbarrow.control.Event;

/** What the clients around the decision thread need of it. */
interface Host {
    /** From any thread: runs that work on the decision thread, in order. */
    void offer(Runnable work);

    /** On the decision thread: the next batch holds this event. */
    void happened(Event event);

    CounterRegistry counters();
}
