package puffinbarrow.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The clock of one run, what is to happen by it, and the chance of its parts. One thread. */
public final class World {
    /** A run that needs more events is not a day but a mistake. */
    public static final class Flooded extends RuntimeException {
        Flooded(long events) {
            super("over " + events + " events");
        }
    }

    /** The clock's first reading: not 0, which means "long ago" to those who read starts from a list. */
    public static final long EPOCH_NS = 1_000_000_000_000L;

    private final Agenda agenda;
    private final long seed;
    private final long mostEvents;
    private long now = EPOCH_NS;
    private long events;
    private boolean stopped;

    public World(Agenda agenda, long seed, long mostEvents) {
        this.agenda = agenda;
        this.seed = seed;
        this.mostEvents = mostEvents;
    }

    public long now() {
        return now;
    }

    public long events() {
        return events;
    }

    /** Of one part's own, whatever other parts there are. */
    public UniformRandomProvider chance(String part, int number) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(Hashing.komihash5_0()
                .hashStream()
                .putLong(seed)
                .putString(part)
                .putInt(number)
                .getAsLong());
    }

    /** What lies in the past is done now. */
    public void at(long ns, Runnable what) {
        agenda.add(Math.max(now, ns), what);
    }

    public void after(long ns, Runnable what) {
        agenda.add(now + Math.max(0, ns), what);
    }

    /** Nothing more happens after what happens now. */
    public void stop() {
        stopped = true;
    }

    /** Until that time, or until nothing is left to happen. */
    public void run(long untilNs) {
        for (long next = agenda.nextNs(); next <= untilNs && !stopped; next = agenda.nextNs()) {
            if (++events > mostEvents) {
                throw new Flooded(mostEvents);
            }
            now = next;
            agenda.take().run();
        }
        now = stopped ? now : Math.max(now, untilNs);
    }
}
