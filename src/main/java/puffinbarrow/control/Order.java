package puffinbarrow.control;

/** What a coordinator can order. Orders take effect in the order given. */
public sealed interface Order {
    int ALL_TABLES = 65535;

    /** When a proxy tries another server: never, on proof that the first never ran, or after any failure. */
    enum Retry {
        NEVER,
        ON_PROOF,
        ONCE,
        TWICE
    }

    record SetLine(int table, String server, double weight) implements Order {}

    record ClearTable(int table) implements Order {}

    /** Puts a proxy on a table, for the traffic groups in the bit set (0: all). */
    record Bind(int table, int proxy, int groups) implements Order {}

    record Mask(String server, boolean out) implements Order {}

    record SetLevel(int table, int groups, double level, Retry retry) implements Order {}

    record Mark(int number, boolean everyProxy) implements Order {}

    record Follow(boolean on) implements Order {}

    record FetchList() implements Order {}

    record WakeAt(long atNs, long label) implements Order {}

    record Probe(String server) implements Order {}

    /** A message to one peer, or to all with -1. */
    record Tell(int peer, String text) implements Order {}

    record Log(String text) implements Order {}
}
