package puffinbarrow.emulator;

/**
 * The event queue of a simulation: events in order of time; those of the same time in the order in which they were
 * added.
 */
public interface EventQueue {
    /** Adds an event. */
    void add(long atNs, Runnable action);

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if there is none. */
    long nextTimeNs();

    /** Removes and returns the next event; there must be one. */
    Runnable removeNext();

    /** Returns the number of events in the queue. */
    int size();
}
