package puffinbarrow.proto;

import puffinbarrow.control.Event;

/** The type numbers of frames, and of the orders within an orders frame. */
final class FrameTypes {
    // Connection set-up and liveness.
    static final int HELLO = 1;
    static final int WELCOME = 2;
    static final int REFUSAL = 3;
    static final int BYE = 4;
    static final int PING = 5;
    static final int PONG = 6;

    // Coordinator and proxy.
    static final int ORDERS = 10;
    static final int APPLIED = 11;
    static final int SUMS = 12;
    static final int DEMAND = 13;
    static final int STALE = 14;

    // Registry.
    static final int SERVER_LIST = 20;
    static final int FOLLOW = 21;
    static final int FETCH = 22;

    // Store: tables and their owners.
    static final int CHARGE = 30;
    static final int STORED = 31;
    static final int READ_SLICE = 32;
    static final int OWNER = 33;

    // Store: membership and leases.
    static final int WATCH = 34;
    static final int SYNCED = 35;
    static final int MEMBER_RECORD = 36;
    static final int SLICE_OWNER_RECORD = 37;
    static final int WRITTEN = 38;

    // Between coordinators.
    static final int PEER = 40;

    // Orders within an orders frame.
    static final byte ORDER_SET_LINE = 1;
    static final byte ORDER_CLEAR_TABLE = 2;
    static final byte ORDER_BIND = 3;
    static final byte ORDER_MASK = 4;
    static final byte ORDER_SET_LEVEL = 5;
    static final byte ORDER_MARK = 6;

    /** Frame flag: a receiver skips the frame if its type is unknown. */
    static final int FLAG_OPTIONAL = 1;

    /** The measures of a load report; their index is the bit number in the report's bit set. */
    static final Event.Measure[] MEASURES = Event.Measure.values();

    private FrameTypes() {}
}
