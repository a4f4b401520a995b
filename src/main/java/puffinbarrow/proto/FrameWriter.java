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
 * Writes frames into one growing buffer, which is used again: {@link #bytes} gives a copy that the caller owns,
 * {@link #write} leaves the frame in the buffer. Lines are written without allocation once a server's id has been
 * written before. Not thread-safe: one for each thread.
 */
public final class FrameWriter {
    static final int HEADER = 12;

    private Bytes to = new Bytes();
    private final CRC32C crc = new CRC32C();
    /** Far above the servers of one fleet; a clash costs encoding the text anew. Longer texts are messages, not ids. */
    private static final int KEPT = 1024;

    private static final int LONGEST_KEPT = 64;
    private final String[] keptTexts;
    private final byte[][] keptBytes;

    public FrameWriter() {
        this(KEPT);
    }

    private FrameWriter(int kept) {
        keptTexts = new String[kept];
        keptBytes = new byte[kept][];
    }

    /** One frame where no writer is at hand; keeps nothing. */
    public static ByteBuffer one(Frame frame) {
        FrameWriter writer = new FrameWriter(1);
        writer.to.bytes = new byte[128];
        return writer.write(frame);
    }

    /** A frame in a buffer of its own, ready to be sent. */
    public ByteBuffer bytes(Frame frame) {
        ByteBuffer written = write(frame);
        ByteBuffer own = ByteBuffer.allocate(written.remaining());
        own.put(written).flip();
        return own;
    }

    /** The frame, readable until the next call. */
    public ByteBuffer write(Frame frame) {
        to.at = HEADER;
        int type = body(frame);
        return seal(type, 0);
    }

    /** Lays header and checksum around what was written; tests use it to make odd frames. */
    ByteBuffer seal(int type, int flags) {
        int end = to.at;
        to.at = 0;
        to.putInt(end - HEADER).put((byte) type).put((byte) Frame.MAJOR).putShort((short) flags);
        crc.reset();
        crc.update(to.bytes, 0, 8);
        crc.update(to.bytes, HEADER, end - HEADER);
        to.putInt((int) crc.getValue());
        to.at = end;
        return ByteBuffer.wrap(to.bytes, 0, end);
    }

    /** The frame's body written so far, to be changed by tests before {@link #seal}. */
    void cutAndAdd(int cut, byte... more) {
        to.at -= cut;
        for (byte each : more) {
            room(1);
            to.put(each);
        }
    }

    private int body(Frame frame) {
        if (frame instanceof Frame.Orders f) {
            room(24);
            to.putLong(f.turn())
                    .putLong(f.orderedAtNs())
                    .putInt(f.carried())
                    .putInt(f.orders().size());
            for (int i = 0; i < f.orders().size(); i++) {
                order(f.orders().get(i));
            }
            if (!f.terms().isEmpty()) {
                room(4 + 12 * f.terms().size());
                to.putInt(f.terms().size());
                for (int i = 0; i < f.terms().size(); i++) {
                    to.putInt(f.terms().get(i).slice()).putLong(f.terms().get(i).term());
                }
            }
            return Types.ORDERS;
        } else if (frame instanceof Frame.Sums f) {
            room(24);
            to.putInt(f.zone())
                    .putLong(f.round())
                    .putLong(f.spanNs())
                    .putInt(f.met().size());
            for (int i = 0; i < f.met().size(); i++) {
                Frame.Met met = f.met().get(i);
                text(met.server());
                room(24);
                to.putLong(met.tries()).putLong(met.dropped()).putLong(met.tookNs());
                report(met.report());
            }
            return Types.SUMS;
        } else if (frame instanceof Frame.Demand f) {
            room(20 + 24 * f.came().size());
            to.putLong(f.round()).putLong(f.spanNs()).putInt(f.came().size());
            for (int i = 0; i < f.came().size(); i++) {
                Frame.Came came = f.came().get(i);
                to.putInt(came.slice())
                        .put((byte) came.group())
                        .putLong(came.flows())
                        .putLong(came.dropped());
            }
            return Types.DEMAND;
        } else if (frame instanceof Frame.Applied f) {
            room(12);
            to.putInt(f.mark()).putLong(f.tookNs());
            return Types.APPLIED;
        } else if (frame instanceof Frame.Ping f) {
            room(8);
            to.putLong(f.number());
            return Types.PING;
        } else if (frame instanceof Frame.Pong f) {
            room(8);
            to.putLong(f.number());
            return Types.PONG;
        }
        return rare(frame);
    }

    private int rare(Frame frame) {
        room(64);
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
            return Types.HELLO;
        } else if (frame instanceof Frame.Welcome f) {
            to.put((byte) f.minor()).putInt(f.coordinator()).putLong(f.incarnation());
            return Types.WELCOME;
        } else if (frame instanceof Frame.Refusal f) {
            to.put((byte) f.why().ordinal());
            text(f.text());
            return Types.REFUSAL;
        } else if (frame instanceof Frame.Bye) {
            return Types.BYE;
        } else if (frame instanceof Frame.ServerList f) {
            to.put((byte) f.kind().ordinal())
                    .putLong(f.version())
                    .putInt(f.entries().size());
            for (Event.Entry e : f.entries()) {
                text(e.server());
                room(32);
                to.putInt(e.zone())
                        .putInt(e.kind())
                        .putInt(e.cell())
                        .put((byte) e.listed().ordinal())
                        .putDouble(e.size())
                        .putLong(e.startedNs());
            }
            return Types.LIST;
        } else if (frame instanceof Frame.Follow f) {
            to.put(bit(f.on()));
            return Types.FOLLOW;
        } else if (frame instanceof Frame.Fetch) {
            return Types.FETCH;
        } else if (frame instanceof Frame.Charge f) {
            to.putInt(f.slice()).put(bit(f.given()));
            return Types.CHARGE;
        } else if (frame instanceof Frame.Stored f) {
            to.putInt(f.slice()).putInt(f.lines().size());
            for (Frame.Line line : f.lines()) {
                text(line.server());
                room(8);
                to.putDouble(line.weight());
            }
            return Types.STORED;
        } else if (frame instanceof Frame.ReadSlice f) {
            to.putInt(f.slice());
            return Types.READ_SLICE;
        } else if (frame instanceof Frame.Owner f) {
            to.putInt(f.slice()).putInt(f.coordinator()).putLong(f.term());
            return Types.OWNER;
        } else if (frame instanceof Frame.Stale f) {
            to.putInt(f.slice()).putLong(f.term());
            return Types.STALE;
        } else if (frame instanceof Frame.Watch) {
            return Types.WATCH;
        } else if (frame instanceof Frame.Synced) {
            return Types.SYNCED;
        } else if (frame instanceof Frame.MemberRecord f) {
            to.putLong(f.id())
                    .putLong(f.revision())
                    .putInt(f.number())
                    .putLong(f.incarnation())
                    .putLong(f.beat())
                    .put((byte) (bit(f.settled()) | bit(f.leaving()) << 1 | bit(f.dead()) << 2))
                    .putInt(f.flaps());
            return Types.MEMBER;
        } else if (frame instanceof Frame.VoiceRecord f) {
            to.putLong(f.id())
                    .putLong(f.revision())
                    .putInt(f.slice())
                    .putInt(f.owner())
                    .putLong(f.incarnation())
                    .putLong(f.term());
            return Types.VOICE;
        } else if (frame instanceof Frame.Written f) {
            to.putLong(f.id()).put(bit(f.applied()));
            return Types.WRITTEN;
        } else if (frame instanceof Frame.Peer f) {
            to.putInt(f.sender());
            text(f.text());
            return Types.PEER;
        }
        throw new IllegalArgumentException(frame.getClass().getName());
    }

    private void order(Order order) {
        if (order instanceof Order.SetLine o) {
            room(5);
            to.put(Types.LINE).putInt(o.table());
            text(o.server());
            room(8);
            to.putDouble(o.weight());
        } else if (order instanceof Order.Mask o) {
            room(2);
            to.put(Types.MASK).put(bit(o.out()));
            text(o.server());
        } else if (order instanceof Order.SetLevel o) {
            room(18);
            to.put(Types.LEVEL)
                    .putInt(o.table())
                    .putInt(o.groups())
                    .putDouble(o.level())
                    .put((byte) o.retry().ordinal());
        } else if (order instanceof Order.Mark o) {
            room(6);
            to.put(Types.MARK).putInt(o.number()).put(bit(o.everyProxy()));
        } else if (order instanceof Order.ClearTable o) {
            room(5);
            to.put(Types.CLEAR).putInt(o.table());
        } else if (order instanceof Order.Bind o) {
            room(13);
            to.put(Types.BIND).putInt(o.table()).putInt(o.proxy()).putInt(o.groups());
        } else {
            throw new IllegalArgumentException("not for proxies: " + order);
        }
    }

    private void report(Map<Event.Measure, Double> report) {
        int bits = 0;
        for (Event.Measure measure : Types.MEASURES) {
            bits |= report.containsKey(measure) ? 1 << measure.ordinal() : 0;
        }
        room(1 + 8 * Types.MEASURES.length);
        to.put((byte) bits);
        for (Event.Measure measure : Types.MEASURES) {
            if ((bits & 1 << measure.ordinal()) != 0) {
                to.putDouble(report.get(measure));
            }
        }
    }

    private static byte bit(boolean on) {
        return (byte) (on ? 1 : 0);
    }

    /** Length in two bytes, then UTF-8; the bytes of texts that come again are kept. */
    private void text(String text) {
        int place = text.hashCode() & keptTexts.length - 1;
        byte[] utf = keptBytes[place];
        if (utf == null || !text.equals(keptTexts[place])) {
            utf = text.getBytes(StandardCharsets.UTF_8);
            if (utf.length > 0xffff) {
                throw new IllegalArgumentException("text over 65535 bytes");
            }
            if (utf.length <= LONGEST_KEPT) {
                keptTexts[place] = text;
                keptBytes[place] = utf;
            }
        }
        room(2 + utf.length);
        to.putShort((short) utf.length);
        System.arraycopy(utf, 0, to.bytes, to.at, utf.length);
        to.at += utf.length;
    }

    private void room(int bytes) {
        if (to.bytes.length - to.at < bytes) {
            to.bytes = Arrays.copyOf(to.bytes, Math.max(to.bytes.length * 2, to.at + bytes));
        }
    }

    /** An array and a cursor: plain stores at a known place cost less than a buffer's checks for each field. */
    private static final class Bytes {
        private static final VarHandle SHORTS = view(short[].class),
                INTS = view(int[].class),
                LONGS = view(long[].class),
                DOUBLES = view(double[].class);

        byte[] bytes = new byte[4096];
        int at;

        private static VarHandle view(Class<?> of) {
            return MethodHandles.byteArrayViewVarHandle(of, ByteOrder.BIG_ENDIAN);
        }

        Bytes put(byte value) {
            bytes[at++] = value;
            return this;
        }

        Bytes putShort(short value) {
            SHORTS.set(bytes, at, value);
            at += 2;
            return this;
        }

        Bytes putInt(int value) {
            INTS.set(bytes, at, value);
            at += 4;
            return this;
        }

        Bytes putLong(long value) {
            LONGS.set(bytes, at, value);
            at += 8;
            return this;
        }

        Bytes putDouble(double value) {
            DOUBLES.set(bytes, at, value);
            at += 8;
            return this;
        }
    }
}
