package puffinbarrow.emulator;

/** What is to happen when: in the order of time, and of those at one time the first added first. */
public interface Agenda {
    void add(long atNs, Runnable what);

    /** When the next is due; the end of time if there is none. */
    long nextNs();

    /** Takes out the next one, which there must be. */
    Runnable take();

    int size();
}
