package puffinbarrow.control;

/** An output of the decision logic. Orders are carried out in the order given. */
public sealed interface Order {
    /** Table number that addresses all tables. */
    int ALL_TABLES = 65535;

    /** When a proxy may retry a flow at another server. */
    enum Retry {
        NEVER,
        /** Once it is proven that the first attempt never ran. */
        ON_PROOF,
        /** Once, after any failure. */
        ONCE,
        /** Twice, after any failures. */
        TWICE
    }

    /** Sets the weight of a server in a table; 0 removes the line. */
    record SetLine(int table, String server, double weight) implements Order {}

    /** Removes all lines of a table. */
    record ClearTable(int table) implements Order {}

    /** Makes a proxy use a table for the traffic groups in the bit set (0: all). */
    record Bind(int table, int proxy, int groups) implements Order {}

    /**
     * Masks a server in all tables, or lifts its mask if {@code masked} is false. Proxies send nothing new to a masked
     * server.
     */
    record Mask(String server, boolean masked) implements Order {}

    /**
     * Sets how much of some traffic groups is admitted, and their retries.
     *
     * @param groups bit set of traffic groups
     * @param level share of the flows, 0 to 1, or flows per second if the settings define levels as rates
     */
    record SetLevel(int table, int groups, double level, Retry retry) implements Order {}

    /**
     * Asks for an acknowledgement ({@link Event.InForce}) of all orders up to here.
     *
     * @param number 0 to 65535
     * @param everyProxy whether all proxies are asked, or only those that the orders before it reach
     */
    record Mark(int number, boolean everyProxy) implements Order {}

    /** Starts or ends following the server list. */
    record Follow(boolean on) implements Order {}

    /** Requests the complete server list once. */
    record FetchList() implements Order {}

    /** Requests a {@link Event.Timer} with this label at this time. */
    record WakeAt(long atNs, long label) implements Order {}

    /** Probes a server; answered by {@link Event.Probed}. */
    record Probe(String server) implements Order {}

    /** Sends a message to one other coordinator, or to all if {@code peer} is -1. */
    record Tell(int peer, String text) implements Order {}

    /** Writes a line to the decision log. */
    record Log(String text) implements Order {}
}
