package puffinbarrow.proto;

import puffinbarrow.control.Event;

/** The numbers of frames and of lines within orders. */
final class Types {
    static final int HELLO = 1, WELCOME = 2, REFUSAL = 3, BYE = 4, PING = 5, PONG = 6;
    static final int ORDERS = 10, APPLIED = 11, SUMS = 12, DEMAND = 13, STALE = 14;
    static final int LIST = 20, FOLLOW = 21, FETCH = 22;
    static final int CHARGE = 30, STORED = 31, READ_SLICE = 32, OWNER = 33;
    static final int WATCH = 34, SYNCED = 35, MEMBER = 36, VOICE = 37, WRITTEN = 38;
    static final int PEER = 40;

    static final byte LINE = 1, CLEAR = 2, BIND = 3, MASK = 4, LEVEL = 5, MARK = 6;

    /** Flag: a receiver that does not know the type passes the frame over. */
    static final int OPTIONAL = 1;

    static final Event.Measure[] MEASURES = Event.Measure.values();

    private Types() {}
}
