package puffinbarrow.day;

/** A backend of a day, on sockets or in the emulator, and what can be done to it. */
public interface Machine {
    String id();

    int zone();

    int cell();

    /** When its process started, or 0 for one that ran before the day began. */
    long startedAt();

    boolean up();

    boolean draining();

    void die();

    /** Comes back under the same id, cold. */
    void startCold();

    void drain(boolean on);

    void fail(double share);

    void loseAnswers(double share);

    void slowBy(double factor);

    /** Stands still for so long. */
    void pause(long ns);
}
