package puffinbarrow.proto;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.CRC32C;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Writes frames into one growing buffer, which is used again: {@link #bytes} gives a copy that the caller owns,
 * {@link #write} leaves the frame in the buffer. Lines are written without allocation as long as server ids are
 * ASCII. Not thread-safe: one for each thread.
 */
public final class FrameWriter {
    static final int HEADER = 12;

    private ByteBuffer to = ByteBuffer.allocate(4096);
    private final CRC32C crc = new CRC32C();

    /** A frame in a buffer of its own, ready to be sent. */
    public ByteBuffer bytes(Frame frame) {
        ByteBuffer written = write(frame);
        ByteBuffer own = ByteBuffer.allocate(written.remaining());
        own.put(written).flip();
        return own;
    }

    /** The frame, readable until the next call. */
    public ByteBuffer write(Frame frame) {
        to.clear();
        to.position(HEADER);
        int type = body(frame);
        return seal(type, 0);
    }

    /** Lays header and checksum around what was written; tests use it to make odd frames. */
    ByteBuffer seal(int type, int flags) {
        int end = to.position();
        to.putInt(0, end - HEADER);
        to.put(4, (byte) type);
        to.put(5, (byte) Frame.MAJOR);
        to.putShort(6, (short) flags);
        crc.reset();
        crc.update(to.array(), 0, 8);
        crc.update(to.array(), HEADER, end - HEADER);
        to.putInt(8, (int) crc.getValue());
        to.flip();
        return to;
    }

    private int body(Frame frame) {
        if (frame instanceof Frame.Orders f) {
            room(24);
            to.putLong(f.turn()).putLong(f.orderedAtNs()).putInt(f.carried()).putInt(f.orders().size());
            for (int i = 0; i < f.orders().size(); i++) {
                order(f.orders().get(i));
            }
            return Types.ORDERS;
        } else if (frame instanceof Frame.Sums f) {
            room(24);
            to.putInt(f.zone()).putLong(f.round()).putLong(f.spanNs()).putInt(f.met().size());
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
                to.putInt(came.slice()).put((byte) came.group()).putLong(came.flows()).putLong(came.dropped());
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
            to.putInt(Frame.MAGIC).put((byte) f.major()).put((byte) f.minor()).put((byte) f.role().ordinal())
                    .putInt(f.number()).putInt(f.zone()).putLong(f.incarnation()).put(bit(f.fresh()))
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
            to.put((byte) f.kind().ordinal()).putLong(f.version()).putInt(f.entries().size());
            for (Event.Entry e : f.entries()) {
                text(e.server());
                room(32);
                to.putInt(e.zone()).putInt(e.kind()).putInt(e.cell()).put((byte) e.listed().ordinal())
                        .putDouble(e.size()).putLong(e.startedNs());
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
            to.putInt(f.slice()).putInt(f.coordinator());
            return Types.OWNER;
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
            to.put(Types.LEVEL).putInt(o.table()).putInt(o.groups()).putDouble(o.level())
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

    /** Length in two bytes, then UTF-8; the plain way for ASCII allocates nothing. */
    private void text(String text) {
        int length = text.length();
        room(2 + 3 * length);
        int start = to.position();
        to.putShort((short) length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 0x80) {
                to.position(start);
                slowText(text);
                return;
            }
            to.put((byte) c);
        }
        if (length > 0xffff) {
            throw new IllegalArgumentException("text over 65535 bytes");
        }
    }

    private void slowText(String text) {
        byte[] utf = text.getBytes(StandardCharsets.UTF_8);
        if (utf.length > 0xffff) {
            throw new IllegalArgumentException("text over 65535 bytes");
        }
        room(2 + utf.length);
        to.putShort((short) utf.length).put(utf);
    }

    private void room(int bytes) {
        if (to.remaining() < bytes) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(to.capacity() * 2, to.position() + bytes));
            to.flip();
            larger.put(to);
            to = larger;
        }
    }
}
