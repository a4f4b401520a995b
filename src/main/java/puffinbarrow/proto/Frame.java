package puffinbarrow.proto;

import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/** All that passes between coordinators, proxies, registry, store and peers. docs/protocol.md states every byte. */
public sealed interface Frame {
    int MAGIC = 0x50554642;
    int MAJOR = 1;
    int MINOR = 1;

    /** Who says hello. */
    enum Role {
        PROXY,
        PEER,
        COORDINATOR,
        PROXY_AT_STORE
    }

    /** Why a hello or a stream was turned away. */
    enum Refused {
        VERSION,
        NUMBER_TAKEN,
        MALFORMED,
        EXPECTED_HELLO,
        UNKNOWN_ROLE,
        TOO_SLOW,
        SHUTTING_DOWN,
        UNKNOWN_PEER
    }

    record Hello(
            int major, int minor, Role role, int number, int zone, long incarnation, boolean fresh, double flowsPerS)
            implements Frame {}

    record Welcome(int minor, int coordinator, long incarnation) implements Frame {}

    record Refusal(Refused why, String text) implements Frame {}

    record Bye() implements Frame {}

    record Ping(long number) implements Frame {}

    record Pong(long number) implements Frame {}

    /**
     * The orders of one turn that concern the receiver, in their order; the last {@code carried} of them are levels
     * that stand already and travel along. Where coordinators hold leases, terms says for each slice that is written
     * to under which term; a receiver refuses lines of an older term than it has seen.
     */
    record Orders(long turn, long orderedAtNs, int carried, List<Order> orders, List<Term> terms) implements Frame {
        public Orders(long turn, long orderedAtNs, int carried, List<Order> orders) {
            this(turn, orderedAtNs, carried, orders, List.of());
        }
    }

    record Term(int slice, long term) {}

    /** A proxy or the store has seen a later term than that of the lines it was sent. */
    record Stale(int slice, long term) implements Frame {}

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

    /** The store tells a proxy in whose charge a slice is; -1: in nobody's. Term 0: charges are dealt by the store. */
    record Owner(int slice, int coordinator, long term) implements Frame {
        public Owner(int slice, int coordinator) {
            this(slice, coordinator, 0);
        }
    }

    /** Asks the store for all records of members and voices, and to be told of each change from then on. */
    record Watch() implements Frame {}

    /** All records have been sent. */
    record Synced() implements Frame {}

    /**
     * A member's record. To the store: write it if its revision is that one, to be answered by {@link Written} with this
     * id. From the store: how it stands, at that revision; the id is 0.
     */
    record MemberRecord(
            long id,
            long revision,
            int number,
            long incarnation,
            long beat,
            boolean settled,
            boolean leaving,
            boolean dead,
            int flaps)
            implements Frame {}

    /** A slice's record, likewise. */
    record VoiceRecord(long id, long revision, int slice, int owner, long incarnation, long term) implements Frame {}

    record Written(long id, boolean applied) implements Frame {}

    record Peer(int sender, String text) implements Frame {}
}
