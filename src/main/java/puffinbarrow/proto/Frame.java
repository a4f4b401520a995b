package puffinbarrow.proto;

import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * The messages between coordinators, proxies, registry, store and peers. {@link FrameWriter} encodes and {@link
 * FrameReader} decodes them; docs/protocol.md specifies their bytes. Enum constants are sent by ordinal, so that their
 * order is part of the format. Durations ({@code ...Ns}) are in nanoseconds.
 */
public sealed interface Frame {
    /** The first field of a hello: the ASCII letters PUFB. */
    int MAGIC = 0x50554642;
    /** A frame of another major version is refused. */
    int MAJOR = 1;
    /** A newer minor version may add fields at the end of a frame and frame types marked as optional. */
    int MINOR = 1;

    /** In which role the sender of a hello connects. */
    enum Role {
        PROXY,
        PEER,
        COORDINATOR,
        /** A proxy that connects to the store. */
        PROXY_AT_STORE
    }

    /** Why a connection was refused. */
    enum RefusalReason {
        VERSION,
        NUMBER_TAKEN,
        MALFORMED,
        EXPECTED_HELLO,
        UNKNOWN_ROLE,
        TOO_SLOW,
        SHUTTING_DOWN,
        UNKNOWN_PEER
    }

    /**
     * The first frame of a connection, from the side that connects.
     *
     * @param number of the proxy or coordinator, within its role
     * @param zone index of the sender's zone
     * @param incarnation distinguishes this process from earlier ones of the same number
     * @param fresh whether the sender starts without any state
     * @param flowsPerS the flows a second that a proxy expects
     */
    record Hello(
            int major, int minor, Role role, int number, int zone, long incarnation, boolean fresh, double flowsPerS)
            implements Frame {}

    /** Accepts a hello; states which coordinator answers, and which incarnation of it. */
    record Welcome(int minor, int coordinator, long incarnation) implements Frame {}

    /** Refuses a connection, which is closed afterwards. */
    record Refusal(RefusalReason why, String text) implements Frame {}

    /** Announces that the sender closes the connection in order. */
    record Bye() implements Frame {}

    /** Asks whether the receiver is alive; answered by a {@link Pong} with the same number. */
    record Ping(long number) implements Frame {}

    /** Answers a {@link Ping}. */
    record Pong(long number) implements Frame {}

    /**
     * The orders of one decision turn for one receiver, in the order to apply them.
     *
     * @param orderedAtNs when they were decided, by the coordinator's clock
     * @param restated how many orders at the end only restate levels that are in force already
     * @param terms where coordinators hold leases, the lease term of each slice that the orders write to; a receiver
     *     refuses lines of an older term than the latest it has observed
     */
    record Orders(long turn, long orderedAtNs, int restated, List<Order> orders, List<Term> terms) implements Frame {
        /** Orders without lease terms. */
        public Orders(long turn, long orderedAtNs, int restated, List<Order> orders) {
            this(turn, orderedAtNs, restated, orders, List.of());
        }
    }

    /** The lease term under which a slice is written. */
    record Term(int slice, long term) {}

    /** Sent by a proxy or the store that has observed a later term for the slice than that of the lines it was sent. */
    record Stale(int slice, long term) implements Frame {}

    /**
     * A proxy has applied all orders up to a mark.
     *
     * @param tookNs how long that took
     */
    record Applied(int mark, long tookNs) implements Frame {}

    /**
     * What a proxy measured at one server in a round.
     *
     * @param tries attempts, including dropped ones
     * @param tookNs the sum of latencies of the attempts that were not dropped
     * @param report the server's latest load report, empty if there is none
     */
    record Met(String server, long tries, long dropped, long tookNs, Map<Event.Measure, Double> report) {}

    /**
     * A proxy's measurements of one reporting round, by server.
     *
     * @param zone where the flows came from, usually the proxy's own zone
     * @param spanNs the time that the sums cover
     */
    record Sums(int zone, long round, long spanNs, List<Met> met) implements Frame {}

    /** Flows that arrived at a proxy for one slice (-1: for the proxy as a whole) and traffic group. */
    record Came(int slice, int group, long flows, long dropped) {}

    /** A proxy's demand in one reporting round, by slice and traffic group. */
    record Demand(long round, long spanNs, List<Came> came) implements Frame {}

    /** The registry's list of servers, complete or as a patch. */
    record ServerList(Event.ListKind kind, long version, List<Event.Entry> entries) implements Frame {}

    /** Starts or ends a subscription to the registry's list. */
    record Follow(boolean on) implements Frame {}

    /** Asks the registry for its list once. */
    record Fetch() implements Frame {}

    /** Gives a coordinator a slice to control, or takes it away. */
    record Charge(int slice, boolean given) implements Frame {}

    /** One line of a slice's table: a server and its share of the slice's flows. */
    record Line(String server, double weight) {}

    /** A slice's table as the store holds it. */
    record Stored(int slice, List<Line> lines) implements Frame {}

    /** Asks the store for the table of a slice, or of all slices with -1. */
    record ReadSlice(int slice) implements Frame {}

    /**
     * Notifies a proxy which coordinator controls a slice.
     *
     * @param coordinator its number, or -1 if there is none
     * @param term the lease term, or 0 if the store itself assigns slices to coordinators
     */
    record Owner(int slice, int coordinator, long term) implements Frame {
        /** An owner without a lease term. */
        public Owner(int slice, int coordinator) {
            this(slice, coordinator, 0);
        }
    }

    /** Asks the store for all member and slice records, and for each change to them from then on. */
    record Watch() implements Frame {}

    /** The store has sent all records that a {@link Watch} asked for. */
    record Synced() implements Frame {}

    /**
     * A coordinator's membership record. Sent to the store it is a conditional write: it applies if the record still
     * has this revision, and is answered by {@link Written} with the same id. Sent by the store it is the record's
     * current value and revision, with id 0.
     *
     * @param heartbeat heartbeat counter
     * @param settled whether the member has been up long enough to be given slices
     * @param leaving whether it hands its slices on
     * @param dead whether another member saw its lease expire and closed the record
     * @param flaps short incarnations in a row, each of which prolongs the wait until it is settled
     */
    record MemberRecord(
            long id,
            long revision,
            int number,
            long incarnation,
            long heartbeat,
            boolean settled,
            boolean leaving,
            boolean dead,
            int flaps)
            implements Frame {}

    /**
     * A slice's ownership record, written and read in the same way as {@link MemberRecord}.
     *
     * @param owner number of the coordinator that holds the slice's lease, or -1
     * @param incarnation of that coordinator
     * @param term grows with each change of owner
     */
    record SliceOwnerRecord(long id, long revision, int slice, int owner, long incarnation, long term)
            implements Frame {}

    /** Answers a conditional write: whether it was applied. */
    record Written(long id, boolean applied) implements Frame {}

    /** A message between two coordinators' decisions. */
    record Peer(int sender, String text) implements Frame {}
}
