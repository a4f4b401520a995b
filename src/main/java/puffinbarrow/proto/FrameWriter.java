package puffinbarrow.proto;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.zip.CRC32C;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Encodes frames into a growing buffer that is reused: {@link #encodeCopy} returns a copy that the caller owns, {@link
 * #write} a view of the buffer. Encoding a line allocates nothing if its server id has been written before. Not
 * thread-safe: each thread has its own.
 */
public final class FrameWriter {
    /** Header length in bytes: body length 4, type 1, major version 1, flags 2, checksum 4. */
    static final int HEADER_BYTES = 12;
    /** The header bytes that the checksum covers. */
    static final int CHECKED_HEADER_BYTES = 8;

    private Bytes to = new Bytes();
    private final CRC32C crc = new CRC32C();
    /** A power of two, far above the number of servers of one fleet; a collision only costs encoding the text again. */
    private static final int CACHE_SLOTS = 1024;
    /** Longer texts are messages rather than server ids, and are not cached. */
    private static final int MAX_CACHED_BYTES = 64;

    private final String[] cachedTexts;
    private final byte[][] cachedBytes;

    /** Creates a writer with a cache for server ids. */
    public FrameWriter() {
        this(CACHE_SLOTS);
    }

    private FrameWriter(int cacheSlots) {
        cachedTexts = new String[cacheSlots];
        cachedBytes = new byte[cacheSlots][];
    }

    /** Encodes a single frame with a writer of its own, for callers without one. */
    public static ByteBuffer encode(Frame frame) {
        FrameWriter writer = new FrameWriter(1);
        writer.to.bytes = new byte[128];
        return writer.write(frame);
    }

    /** Encodes a frame into a new buffer, ready to be sent. */
    public ByteBuffer encodeCopy(Frame frame) {
        ByteBuffer written = write(frame);
        ByteBuffer own = ByteBuffer.allocate(written.remaining());
        own.put(written).flip();
        return own;
    }

    /** Encodes a frame; the returned buffer is valid until the next call. */
    public ByteBuffer write(Frame frame) {
        to.position = HEADER_BYTES;
        int type = body(frame);
        return seal(type, 0);
    }

    /** Adds header and checksum to the body written so far; tests call it to make invalid frames. */
    ByteBuffer seal(int type, int flags) {
        int end = to.position;
        to.position = 0;
        to.putInt(end - HEADER_BYTES).put((byte) type).put((byte) Frame.MAJOR).putShort((short) flags);
        crc.reset();
        crc.update(to.bytes, 0, CHECKED_HEADER_BYTES);
        crc.update(to.bytes, HEADER_BYTES, end - HEADER_BYTES);
        to.putInt((int) crc.getValue());
        to.position = end;
        return ByteBuffer.wrap(to.bytes, 0, end);
    }

    /** Removes bytes from the end of the body written so far and appends others; for tests, before {@link #seal}. */
    void cutAndAdd(int cut, byte... more) {
        to.position -= cut;
        for (byte each : more) {
            ensureRoom(1);
            to.put(each);
        }
    }

    /** Writes a frame's body, the frequent types first; returns the type. */
    private int body(Frame frame) {
        if (frame instanceof Frame.Orders f) {
            ensureRoom(24);
            to.putLong(f.turn())
                    .putLong(f.orderedAtNs())
                    .putInt(f.restated())
                    .putInt(f.orders().size());
            for (int i = 0; i < f.orders().size(); i++) {
                order(f.orders().get(i));
            }
            if (!f.terms().isEmpty()) {
                ensureRoom(4 + 12 * f.terms().size());
                to.putInt(f.terms().size());
                for (int i = 0; i < f.terms().size(); i++) {
                    to.putInt(f.terms().get(i).slice()).putLong(f.terms().get(i).term());
                }
            }
            return FrameTypes.ORDERS;
        } else if (frame instanceof Frame.Sums f) {
            ensureRoom(24);
            to.putInt(f.zone())
                    .putLong(f.round())
                    .putLong(f.spanNs())
                    .putInt(f.met().size());
            for (int i = 0; i < f.met().size(); i++) {
                Frame.Met met = f.met().get(i);
                text(met.server());
                ensureRoom(24);
                to.putLong(met.tries()).putLong(met.dropped()).putLong(met.tookNs());
                report(met.report());
            }
            return FrameTypes.SUMS;
        } else if (frame instanceof Frame.Demand f) {
            ensureRoom(20 + 24 * f.came().size());
            to.putLong(f.round()).putLong(f.spanNs()).putInt(f.came().size());
            for (int i = 0; i < f.came().size(); i++) {
                Frame.Came came = f.came().get(i);
                to.putInt(came.slice())
                        .put((byte) came.group())
                        .putLong(came.flows())
                        .putLong(came.dropped());
            }
            return FrameTypes.DEMAND;
        } else if (frame instanceof Frame.Applied f) {
            ensureRoom(12);
            to.putInt(f.mark()).putLong(f.tookNs());
            return FrameTypes.APPLIED;
        } else if (frame instanceof Frame.Ping f) {
            ensureRoom(8);
            to.putLong(f.number());
            return FrameTypes.PING;
        } else if (frame instanceof Frame.Pong f) {
            ensureRoom(8);
            to.putLong(f.number());
            return FrameTypes.PONG;
        }
        return rareBody(frame);
    }

    /** Writes the frame types that are not sent in every round; returns the type. */
    private int rareBody(Frame frame) {
        ensureRoom(64);
        if (frame instanceof Frame.Hello f) {
            to.putInt(Frame.MAGIC)
                    .put((byte) f.major())
                    .put((byte) f.minor())
                    .put((byte) f.role().ordinal())
                    .putInt(f.number())
                    .putInt(f.zone())
                    .putLong(f.incarnation())
                    .put(bit(f.fresh()))
                    .putDouble(f.flowsPerS());
            return FrameTypes.HELLO;
        } else if (frame instanceof Frame.Welcome f) {
            to.put((byte) f.minor()).putInt(f.coordinator()).putLong(f.incarnation());
            return FrameTypes.WELCOME;
        } else if (frame instanceof Frame.Refusal f) {
            to.put((byte) f.why().ordinal());
            text(f.text());
            return FrameTypes.REFUSAL;
        } else if (frame instanceof Frame.Bye) {
            return FrameTypes.BYE;
        } else if (frame instanceof Frame.ServerList f) {
            to.put((byte) f.kind().ordinal())
                    .putLong(f.version())
                    .putInt(f.entries().size());
            for (Event.Entry e : f.entries()) {
                text(e.server());
                ensureRoom(32);
                to.putInt(e.zone())
                        .putInt(e.kind())
                        .putInt(e.cell())
                        .put((byte) e.listed().ordinal())
                        .putDouble(e.size())
                        .putLong(e.startedNs());
            }
            return FrameTypes.SERVER_LIST;
        } else if (frame instanceof Frame.Follow f) {
            to.put(bit(f.on()));
            return FrameTypes.FOLLOW;
        } else if (frame instanceof Frame.Fetch) {
            return FrameTypes.FETCH;
        } else if (frame instanceof Frame.Charge f) {
            to.putInt(f.slice()).put(bit(f.given()));
            return FrameTypes.CHARGE;
        } else if (frame instanceof Frame.Stored f) {
            to.putInt(f.slice()).putInt(f.lines().size());
            for (Frame.Line line : f.lines()) {
                text(line.server());
                ensureRoom(8);
                to.putDouble(line.weight());
            }
            return FrameTypes.STORED;
        } else if (frame instanceof Frame.ReadSlice f) {
            to.putInt(f.slice());
            return FrameTypes.READ_SLICE;
        } else if (frame instanceof Frame.Owner f) {
            to.putInt(f.slice()).putInt(f.coordinator()).putLong(f.term());
            return FrameTypes.OWNER;
        } else if (frame instanceof Frame.Stale f) {
            to.putInt(f.slice()).putLong(f.term());
            return FrameTypes.STALE;
        } else if (frame instanceof Frame.Watch) {
            return FrameTypes.WATCH;
        } else if (frame instanceof Frame.Synced) {
            return FrameTypes.SYNCED;
        } else if (frame instanceof Frame.MemberRecord f) {
            to.putLong(f.id())
                    .putLong(f.revision())
                    .putInt(f.number())
                    .putLong(f.incarnation())
                    .putLong(f.heartbeat())
                    .put((byte) (bit(f.settled()) | bit(f.leaving()) << 1 | bit(f.dead()) << 2))
                    .putInt(f.flaps());
            return FrameTypes.MEMBER_RECORD;
        } else if (frame instanceof Frame.SliceOwnerRecord f) {
            to.putLong(f.id())
                    .putLong(f.revision())
                    .putInt(f.slice())
                    .putInt(f.owner())
                    .putLong(f.incarnation())
                    .putLong(f.term());
            return FrameTypes.SLICE_OWNER_RECORD;
        } else if (frame instanceof Frame.Written f) {
            to.putLong(f.id()).put(bit(f.applied()));
            return FrameTypes.WRITTEN;
        } else if (frame instanceof Frame.Peer f) {
            to.putInt(f.sender());
            text(f.text());
            return FrameTypes.PEER;
        }
        throw new IllegalArgumentException(frame.getClass().getName());
    }

    /** Writes one order of an orders frame. */
    private void order(Order order) {
        if (order instanceof Order.SetLine o) {
            ensureRoom(5);
            to.put(FrameTypes.ORDER_SET_LINE).putInt(o.table());
            text(o.server());
            ensureRoom(8);
            to.putDouble(o.weight());
        } else if (order instanceof Order.Mask o) {
            ensureRoom(2);
            to.put(FrameTypes.ORDER_MASK).put(bit(o.masked()));
            text(o.server());
        } else if (order instanceof Order.SetLevel o) {
            ensureRoom(18);
            to.put(FrameTypes.ORDER_SET_LEVEL)
                    .putInt(o.table())
                    .putInt(o.groups())
                    .putDouble(o.level())
                    .put((byte) o.retry().ordinal());
        } else if (order instanceof Order.Mark o) {
            ensureRoom(6);
            to.put(FrameTypes.ORDER_MARK).putInt(o.number()).put(bit(o.everyProxy()));
        } else if (order instanceof Order.ClearTable o) {
            ensureRoom(5);
            to.put(FrameTypes.ORDER_CLEAR_TABLE).putInt(o.table());
        } else if (order instanceof Order.Bind o) {
            ensureRoom(13);
            to.put(FrameTypes.ORDER_BIND).putInt(o.table()).putInt(o.proxy()).putInt(o.groups());
        } else {
            throw new IllegalArgumentException("not an order for proxies: " + order);
        }
    }

    /** Writes a load report: a bit set of measures, then their values. */
    private void report(Map<Event.Measure, Double> report) {
        int bits = 0;
        for (Event.Measure measure : FrameTypes.MEASURES) {
            bits |= report.containsKey(measure) ? 1 << measure.ordinal() : 0;
        }
        ensureRoom(1 + 8 * FrameTypes.MEASURES.length);
        to.put((byte) bits);
        for (Event.Measure measure : FrameTypes.MEASURES) {
            if ((bits & 1 << measure.ordinal()) != 0) {
                to.putDouble(report.get(measure));
            }
        }
    }

    private static byte bit(boolean on) {
        return (byte) (on ? 1 : 0);
    }

    /** Writes a text: its length in two bytes, then UTF-8. The encoded bytes of short texts are cached. */
    private void text(String text) {
        int slot = text.hashCode() & cachedTexts.length - 1;
        byte[] utf8 = cachedBytes[slot];
        if (utf8 == null || !text.equals(cachedTexts[slot])) {
            utf8 = text.getBytes(StandardCharsets.UTF_8);
            if (utf8.length > 0xffff) {
                throw new IllegalArgumentException("text over 65535 bytes");
            }
            if (utf8.length <= MAX_CACHED_BYTES) {
                cachedTexts[slot] = text;
                cachedBytes[slot] = utf8;
            }
        }
        ensureRoom(2 + utf8.length);
        to.putShort((short) utf8.length);
        System.arraycopy(utf8, 0, to.bytes, to.position, utf8.length);
        to.position += utf8.length;
    }

    /** Grows the array if it has no room for that many more bytes. */
    private void ensureRoom(int bytes) {
        if (to.bytes.length - to.position < bytes) {
            to.bytes = Arrays.copyOf(to.bytes, Math.max(to.bytes.length * 2, to.position + bytes));
        }
    }

    /**
     * A byte array with a write position: cheaper than a ByteBuffer, which checks its bounds and state for each
     * field.
     */
    private static final class Bytes {
        private static final VarHandle SHORTS = view(short[].class);
        private static final VarHandle INTS = view(int[].class);
        private static final VarHandle LONGS = view(long[].class);
        private static final VarHandle DOUBLES = view(double[].class);

        byte[] bytes = new byte[4096];
        int position;

        private static VarHandle view(Class<?> of) {
            return MethodHandles.byteArrayViewVarHandle(of, ByteOrder.BIG_ENDIAN);
        }

        Bytes put(byte value) {
            bytes[position++] = value;
            return this;
        }

        Bytes putShort(short value) {
            SHORTS.set(bytes, position, value);
            position += 2;
            return this;
        }

        Bytes putInt(int value) {
            INTS.set(bytes, position, value);
            position += 4;
            return this;
        }

        Bytes putLong(long value) {
            LONGS.set(bytes, position, value);
            position += 8;
            return this;
        }

        Bytes putDouble(double value) {
            DOUBLES.set(bytes, position, value);
            position += 8;
            return this;
        }
    }
}
