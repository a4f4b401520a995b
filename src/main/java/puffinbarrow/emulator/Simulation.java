package puffinbarrow.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event simulation of one run: its clock, the events to come, and random generators for its parts. Used by
 * one thread; {@link Fleet} advances it.
 */
public final class Simulation {
    /** Thrown when a run exceeds its limit of events: a mistake in the day, or a policy that never stops acting. */
    public static final class EventLimitException extends RuntimeException {
        private static final long serialVersionUID = 1;

        EventLimitException(long events) {
            super("over " + events + " events");
        }
    }

    /** First reading of the clock in nanoseconds. Not 0, which means "started long ago" in a server's start time. */
    public static final long EPOCH_NS = 1_000_000_000_000L;

    private final EventQueue eventQueue;
    private final long seed;
    private final long maxEvents;
    private long now = EPOCH_NS;
    private long events;
    private boolean stopped;

    /** Creates a simulation whose clock reads {@link #EPOCH_NS}. */
    public Simulation(EventQueue eventQueue, long seed, long maxEvents) {
        this.eventQueue = eventQueue;
        this.seed = seed;
        this.maxEvents = maxEvents;
    }

    /** Returns the simulated time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Returns the number of events processed so far. */
    public long events() {
        return events;
    }

    /**
     * Returns a random generator that depends only on the seed, the part and the number, so that adding a part to the
     * simulation does not change the draws of others.
     */
    public UniformRandomProvider random(String streamName, int number) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(Hashing.komihash5_0()
                .hashStream()
                .putLong(seed)
                .putString(streamName)
                .putInt(number)
                .getAsLong());
    }

    /** Schedules an event; a time in the past means now. */
    public void at(long ns, Runnable action) {
        eventQueue.add(Math.max(now, ns), action);
    }

    /** Schedules an event after a delay; a negative one means now. */
    public void after(long ns, Runnable action) {
        eventQueue.add(now + Math.max(0, ns), action);
    }

    /** Ends {@link #run} after the current event. */
    public void stop() {
        stopped = true;
    }

    /** Processes events up to and including that time, or until none is left. */
    public void run(long untilNs) {
        for (long next = eventQueue.nextTimeNs(); next <= untilNs && !stopped; next = eventQueue.nextTimeNs()) {
            if (++events > maxEvents) {
                throw new EventLimitException(maxEvents);
            }
            now = next;
            eventQueue.removeNext().run();
        }
        now = stopped ? now : Math.max(now, untilNs);
    }
}
