package puffinbarrow.day;

import java.util.Collection;
import java.util.List;
import puffinbarrow.control.Event;

/**
 * The fleet that {@link FaultInjector} applies faults to: on sockets or in the emulator. On sockets its methods are
 * called by the day's timer thread, in the emulator by the simulation's thread.
 */
public interface FleetControl {
    /** Runs the work after a delay on the same thread as the faults. */
    void after(long ns, Runnable work);

    /** Adds a line to the day's log. */
    void note(String text);

    /** Returns all backends in the order of their creation. */
    Collection<? extends BackendControl> backends();

    /** Creates a backend that starts cold now and is not in the server list yet. */
    BackendControl addBackend();

    /** Shows these backends with this state in the server list, after the list's usual delay. */
    void showInServerList(List<? extends BackendControl> some, Event.Listed as);

    /** Truncates the next server list that is sent. */
    void truncateNextList();

    /** Ends a coordinator without an orderly shutdown. */
    void kill(int coordinator);

    /** Starts a coordinator again that was killed. */
    void restart(int coordinator);

    /** Sets the pace of a coordinator's order channel to this part (0 to 1) of the configured one. */
    void pace(int coordinator, double part);

    /** Suspends or resumes a coordinator. */
    void setSuspended(int coordinator, boolean on);

    /** Makes a coordinator hand over the slices it is in charge of. */
    void leave(int coordinator);

    /** Cuts a coordinator from {@code store}, {@code registry}, {@code peers} or {@code proxies}, or reconnects it. */
    void cut(int coordinator, String from, boolean on);

    /** Cuts the first {@code proxies} proxies from all coordinators, or reconnects them. */
    void cutProxies(int proxies, boolean on);

    /** Returns the number of proxies. */
    int proxies();

    /** Makes the store unreachable, or reachable again. */
    void setStoreUnreachable(boolean on);

    /** Delays the store's answers by this time; 0 ends the delay. */
    void setStoreDelay(long ns);

    /** Makes the store lose this share (0 to 1) of its answers. */
    void setStoreLossShare(double share);
}
