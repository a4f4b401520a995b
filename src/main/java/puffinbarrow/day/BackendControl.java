package puffinbarrow.day;

/**
 * A backend of a day, on sockets or in the emulator, with the faults that {@link FaultInjector} can apply to it. Called
 * on the thread that applies faults.
 */
public interface BackendControl {
    /** Returns the server id, under which it is listed. */
    String id();

    int zone();

    int cell();

    /** Returns when its process started, in ns of the day's clock, or 0 if it ran before the day began. */
    long startedAtNs();

    /** Returns whether its process runs. */
    boolean running();

    /** Returns whether it drains. */
    boolean draining();

    /** Ends its process at once. */
    void crash();

    /** Starts it again under the same id, cold. */
    void startCold();

    /** Sets its own draining flag; a draining backend is not selected for further faults. */
    void setDraining(boolean on);

    /** Makes it fail this share (0 to 1) of flows. */
    void fail(double share);

    /** Makes it lose the answers of this share (0 to 1) of flows. */
    void loseAnswers(double share);

    /** Multiplies its service times by this factor; 1 is normal. */
    void setSlowdown(double factor);

    /** Suspends it for this time; 0 resumes it. */
    void suspend(long ns);
}
