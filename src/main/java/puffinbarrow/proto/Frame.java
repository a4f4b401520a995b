package puffinbarrow.proto;

import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/** All that passes between coordinators, proxies, registry, store and peers. docs/protocol.md states every byte. */
public sealed interface Frame {
    int MAGIC = 0x50554642;
    int MAJOR = 1;
    int MINOR = 0;

    /** Who says hello. */
    enum Role { PROXY, PEER, COORDINATOR, PROXY_AT_STORE }

    /** Why a hello or a stream was turned away. */
    enum Refused { VERSION, NUMBER_TAKEN, MALFORMED, EXPECTED_HELLO, UNKNOWN_ROLE, TOO_SLOW, SHUTTING_DOWN, UNKNOWN_PEER }

    record Hello(int major, int minor, Role role, int number, int zone, long incarnation, boolean fresh,
            double flowsPerS) implements Frame {}

    record Welcome(int minor, int coordinator, long incarnation) implements Frame {}

    record Refusal(Refused why, String text) implements Frame {}

    record Bye() implements Frame {}

    record Ping(long number) implements Frame {}

    record Pong(long number) implements Frame {}

    /**
     * The orders of one turn that concern the receiver, in their order; the last {@code carried} of them are levels
     * that stand already and travel along.
     */
    record Orders(long turn, long orderedAtNs, int carried, List<Order> orders) implements Frame {}

    record Applied(int mark, long tookNs) implements Frame {}

    /** What a proxy met at a server; tookNs is the sum over the good answers. */
    record Met(String server, long tries, long dropped, long tookNs, Map<Event.Measure, Double> report) {}

    /** {@code zone}: where the flows came from; a proxy usually states its own. */
    record Sums(int zone, long round, long spanNs, List<Met> met) implements Frame {}

    /** Flows that came to a proxy for a slice (-1: to the proxy as a whole). */
    record Came(int slice, int group, long flows, long dropped) {}

    record Demand(long round, long spanNs, List<Came> came) implements Frame {}

    record ServerList(Event.ListKind kind, long version, List<Event.Entry> entries) implements Frame {}

    record Follow(boolean on) implements Frame {}

    record Fetch() implements Frame {}

    record Charge(int slice, boolean given) implements Frame {}

    record Line(String server, double weight) {}

    /** A slice's table as the store has it. */
    record Stored(int slice, List<Line> lines) implements Frame {}

    /** Asks the store for a slice's table, or with -1 for all. */
    record ReadSlice(int slice) implements Frame {}

    /** The store tells a proxy in whose charge a slice is; -1: in nobody's. */
    record Owner(int slice, int coordinator) implements Frame {}

    record Peer(int sender, String text) implements Frame {}
}
