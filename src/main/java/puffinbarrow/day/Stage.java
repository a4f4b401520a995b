package puffinbarrow.day;

import java.util.Collection;
import java.util.List;
import puffinbarrow.control.Event;

/** Where a script's troubles strike: a fleet on sockets, or one in the emulator. */
public interface Stage {
    void after(long ns, Runnable work);

    void note(String text);

    /** In the order they were made. */
    Collection<? extends Machine> machines();

    /** A new one, cold from now on, not listed yet. */
    Machine fresh();

    void list(List<? extends Machine> some, Event.Listed as);

    /** The next list that goes out breaks off in its middle. */
    void breakList();

    void kill(int coordinator);

    void restart(int coordinator);

    void pace(int coordinator, double part);

    void freeze(int coordinator, boolean on);

    /** It hands its charges on. */
    void leave(int coordinator);

    /** From the store, the registry, its peers or the proxies. */
    void cut(int coordinator, String from, boolean on);

    /** Cuts the first so many proxies from all coordinators, or heals them. */
    void unheard(int proxies, boolean on);

    int proxies();

    void storeAway(boolean on);

    void storeSlow(long ns);

    void storeLoses(double share);
}
