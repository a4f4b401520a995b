package puffinbarrow.proto;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.proto.FrameException.Cause;

/**
 * Reads frames from whatever bytes came, split anywhere. It never trusts a length: a frame over the limit ends the
 * stream before any of it is kept, counts within a frame are checked against the bytes that are there. Any frame that
 * cannot be read throws {@link FrameException}; after that the reader must not be fed again. Server ids are kept once
 * each, so a line read costs its record only. Not thread-safe: one for each link.
 */
public final class FrameReader {
    /** The longest payload unless the settings say otherwise: a whole list of 10,000 servers fits. */
    public static final int USUAL_LIMIT = 1 << 20;

    /** Takes the lines of an orders frame without a record for each; see {@link #lines}. */
    public interface Lines {
        void line(int table, String server, double weight);

        void other(Order order);
    }

    private final int limit;
    private final Consumer<Frame> out;
    private final CRC32C crc = new CRC32C();
    private final Names names = new Names();
    private ByteBuffer kept = ByteBuffer.allocate(4096);
    private boolean midFrame;

    public FrameReader(int limit, Consumer<Frame> out) {
        this.limit = limit;
        this.out = out;
    }

    /** Whether the bytes so far end within a frame. */
    public boolean midFrame() {
        return midFrame;
    }

    public void feed(ByteBuffer in) {
        if (kept.position() == 0) {
            // Nothing waits: frames that came whole are read where they lie.
            while (in.remaining() >= FrameWriter.HEADER && in.remaining() >= FrameWriter.HEADER + length(in)) {
                one(in);
            }
        }
        while (in.hasRemaining()) {
            int need = kept.position() < FrameWriter.HEADER
                    ? FrameWriter.HEADER
                    : FrameWriter.HEADER + checked(kept.getInt(0));
            ensure(need);
            int some = Math.min(in.remaining(), need - kept.position());
            int before = in.limit();
            in.limit(in.position() + some);
            kept.put(in);
            in.limit(before);
            if (kept.position() >= FrameWriter.HEADER
                    && kept.position() == FrameWriter.HEADER + checked(kept.getInt(0))) {
                kept.flip();
                one(kept);
                kept.clear();
            }
        }
        midFrame = kept.position() > 0;
    }

    private int length(ByteBuffer in) {
        return checked(in.getInt(in.position()));
    }

    private int checked(int length) {
        if (length < 0 || length > limit) {
            throw new FrameException(
                    Cause.OVERSIZED,
                    "a frame of " + Integer.toUnsignedString(length) + " bytes, " + limit + " is the most");
        }
        return length;
    }

    private void ensure(int bytes) {
        if (kept.capacity() < bytes) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.min(FrameWriter.HEADER + limit, Math.max(bytes, kept.capacity() * 2)));
            kept.flip();
            larger.put(kept);
            kept = larger;
        }
    }

    /** Reads one whole frame and leaves the cursor behind it. */
    private void one(ByteBuffer in) {
        int start = in.position();
        int length = in.getInt();
        int type = in.get() & 0xff;
        int major = in.get() & 0xff;
        int flags = in.getShort() & 0xffff;
        int stated = in.getInt();
        int limitBefore = in.limit();
        int end = start + FrameWriter.HEADER + length;
        in.limit(end);
        crc.reset();
        if (in.hasArray()) {
            crc.update(in.array(), in.arrayOffset() + start, 8);
            crc.update(in.array(), in.arrayOffset() + start + FrameWriter.HEADER, length);
        } else {
            crc.update(in.slice(start, 8));
            crc.update(in.slice(start + FrameWriter.HEADER, length));
        }
        if ((int) crc.getValue() != stated) {
            throw new FrameException(Cause.CHECKSUM, "checksum of a frame of type " + type);
        }
        if (major != Frame.MAJOR) {
            throw new FrameException(Cause.VERSION, "version " + major + ", " + Frame.MAJOR + " is spoken here");
        }
        Frame frame;
        try {
            frame = body(type, in);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException cut) {
            throw new FrameException(Cause.MALFORMED, "a frame of type " + type + " ends within a field");
        }
        if (frame == null && (flags & Types.OPTIONAL) == 0) {
            throw new FrameException(Cause.UNKNOWN_TYPE, "unknown frame type " + type);
        }
        // What a newer minor version adds stands behind the fields known here and is passed over.
        in.limit(limitBefore);
        in.position(end);
        if (frame != null) {
            out.accept(frame);
        }
    }

    private Frame body(int type, ByteBuffer in) throws CharacterCodingException {
        switch (type) {
            case Types.ORDERS: {
                long turn = in.getLong();
                long at = in.getLong();
                int carried = in.getInt();
                int count = count(in, 2);
                if (carried < 0 || carried > count) {
                    throw malformed("orders with " + carried + " carried of " + count);
                }
                List<Order> orders = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    orders.add(order(in));
                }
                List<Frame.Term> terms = List.of();
                if (in.hasRemaining()) {
                    int fenced = count(in, 12);
                    terms = new ArrayList<>(fenced);
                    for (int i = 0; i < fenced; i++) {
                        terms.add(new Frame.Term(in.getInt(), positive(in.getLong(), "term")));
                    }
                }
                return new Frame.Orders(turn, at, carried, orders, terms);
            }
            case Types.SUMS: {
                int zone = in.getInt();
                long round = in.getLong();
                long span = in.getLong();
                int count = count(in, 27);
                List<Frame.Met> met = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    String server = text(in);
                    long tries = in.getLong();
                    long dropped = in.getLong();
                    long took = in.getLong();
                    if (tries < 0 || dropped < 0 || dropped > tries || took < 0) {
                        throw malformed("sums of " + server);
                    }
                    met.add(new Frame.Met(server, tries, dropped, took, report(in)));
                }
                return new Frame.Sums(zone, round, span, met);
            }
            case Types.DEMAND: {
                long round = in.getLong();
                long span = in.getLong();
                int count = count(in, 21);
                List<Frame.Came> came = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    Frame.Came one = new Frame.Came(in.getInt(), in.get(), in.getLong(), in.getLong());
                    if (one.flows() < 0 || one.dropped() < 0 || one.group() < 0) {
                        throw malformed("demand for slice " + one.slice());
                    }
                    came.add(one);
                }
                return new Frame.Demand(round, span, came);
            }
            case Types.APPLIED:
                return new Frame.Applied(in.getInt(), in.getLong());
            case Types.PING:
                return new Frame.Ping(in.getLong());
            case Types.PONG:
                return new Frame.Pong(in.getLong());
            default:
                return rare(type, in);
        }
    }

    private Frame rare(int type, ByteBuffer in) throws CharacterCodingException {
        switch (type) {
            case Types.HELLO: {
                if (in.getInt() != Frame.MAGIC) {
                    throw malformed("hello without the magic number");
                }
                return new Frame.Hello(
                        in.get(),
                        in.get(),
                        pick(Frame.Role.values(), in.get(), "role"),
                        in.getInt(),
                        in.getInt(),
                        in.getLong(),
                        in.get() != 0,
                        finite(in.getDouble()));
            }
            case Types.WELCOME:
                return new Frame.Welcome(in.get(), in.getInt(), in.getLong());
            case Types.REFUSAL:
                return new Frame.Refusal(pick(Frame.Refused.values(), in.get(), "refusal"), text(in));
            case Types.BYE:
                return new Frame.Bye();
            case Types.LIST: {
                Event.ListKind kind = pick(Event.ListKind.values(), in.get(), "list kind");
                long version = in.getLong();
                int count = count(in, 31);
                List<Event.Entry> entries = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    entries.add(new Event.Entry(
                            text(in),
                            in.getInt(),
                            in.getInt(),
                            in.getInt(),
                            pick(Event.Listed.values(), in.get(), "entry"),
                            finite(in.getDouble()),
                            in.getLong()));
                }
                return new Frame.ServerList(kind, version, entries);
            }
            case Types.FOLLOW:
                return new Frame.Follow(in.get() != 0);
            case Types.FETCH:
                return new Frame.Fetch();
            case Types.CHARGE:
                return new Frame.Charge(in.getInt(), in.get() != 0);
            case Types.STORED: {
                int slice = in.getInt();
                int count = count(in, 10);
                List<Frame.Line> lines = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    lines.add(new Frame.Line(text(in), weight(in.getDouble())));
                }
                return new Frame.Stored(slice, lines);
            }
            case Types.READ_SLICE:
                return new Frame.ReadSlice(in.getInt());
            case Types.OWNER:
                return new Frame.Owner(
                        in.getInt(), in.getInt(), in.hasRemaining() ? positive(in.getLong(), "term") : 0);
            case Types.STALE:
                return new Frame.Stale(in.getInt(), positive(in.getLong(), "term"));
            case Types.WATCH:
                return new Frame.Watch();
            case Types.SYNCED:
                return new Frame.Synced();
            case Types.MEMBER: {
                long id = in.getLong();
                long revision = in.getLong();
                int number = in.getInt();
                long incarnation = in.getLong();
                long beat = positive(in.getLong(), "beat");
                int flags = in.get();
                return new Frame.MemberRecord(
                        id,
                        revision,
                        number,
                        incarnation,
                        beat,
                        (flags & 1) != 0,
                        (flags & 2) != 0,
                        (flags & 4) != 0,
                        in.getInt());
            }
            case Types.VOICE:
                return new Frame.VoiceRecord(
                        in.getLong(),
                        in.getLong(),
                        in.getInt(),
                        in.getInt(),
                        in.getLong(),
                        positive(in.getLong(), "term"));
            case Types.WRITTEN:
                return new Frame.Written(in.getLong(), in.get() != 0);
            case Types.PEER: {
                int sender = in.getInt();
                String text = text(in);
                // WIRE allows a message of 256 bytes; the text is what two coordinators agreed on.
                if (text.getBytes(StandardCharsets.UTF_8).length > 256) {
                    throw malformed("a peer message over 256 bytes");
                }
                return new Frame.Peer(sender, text);
            }
            default:
                return null;
        }
    }

    private static long positive(long number, String what) {
        if (number < 0) {
            throw malformed("a negative " + what);
        }
        return number;
    }

    private Order order(ByteBuffer in) throws CharacterCodingException {
        byte kind = in.get();
        switch (kind) {
            case Types.LINE:
                return new Order.SetLine(in.getInt(), text(in), weight(in.getDouble()));
            case Types.CLEAR:
                return new Order.ClearTable(in.getInt());
            case Types.BIND:
                return new Order.Bind(in.getInt(), in.getInt(), in.getInt());
            case Types.MASK: {
                boolean on = in.get() != 0;
                return new Order.Mask(text(in), on);
            }
            case Types.LEVEL:
                return new Order.SetLevel(
                        in.getInt(),
                        in.getInt(),
                        weight(in.getDouble()),
                        pick(Order.Retry.values(), in.get(), "way of trying again"));
            case Types.MARK:
                return new Order.Mark(in.getInt(), in.get() != 0);
            default:
                throw malformed("unknown order " + kind);
        }
    }

    /** Walks the lines of one whole orders frame without a record for each line: the fast way for large tables. */
    public void lines(ByteBuffer frame, Lines to) {
        int at = frame.position() + FrameWriter.HEADER + 20;
        try {
            ByteBuffer in = frame.duplicate().position(at);
            int count = count(in, 2);
            for (int i = 0; i < count; i++) {
                if (in.get(in.position()) == Types.LINE) {
                    in.get();
                    int table = in.getInt();
                    String server = text(in);
                    to.line(table, server, weight(in.getDouble()));
                } else {
                    to.other(order(in));
                }
            }
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException cut) {
            throw new FrameException(Cause.MALFORMED, "orders end within a line");
        }
    }

    private static Map<Event.Measure, Double> report(ByteBuffer in) {
        int bits = in.get() & 0xff;
        if (bits == 0) {
            return Map.of();
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        for (int bit = 0; bit < 8; bit++) {
            if ((bits & 1 << bit) != 0) {
                double value = finite(in.getDouble());
                if (bit < Types.MEASURES.length) {
                    report.put(Types.MEASURES[bit], value);
                }
            }
        }
        return report;
    }

    /** A count of parts that take at least so many bytes each; more than can be there is refused unread. */
    private static int count(ByteBuffer in, int leastBytes) {
        int count = in.getInt();
        if (count < 0 || (long) count * leastBytes > in.remaining()) {
            throw malformed("a count of " + count + " in " + in.remaining() + " bytes");
        }
        return count;
    }

    private String text(ByteBuffer in) throws CharacterCodingException {
        int length = in.getShort() & 0xffff;
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        return names.read(in, length);
    }

    private static <T> T pick(T[] values, int number, String what) {
        if (number < 0 || number >= values.length) {
            throw malformed(what + " " + number);
        }
        return values[number];
    }

    private static double finite(double value) {
        if (!Double.isFinite(value)) {
            throw malformed("a figure that is not finite");
        }
        return value;
    }

    private static double weight(double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw malformed("a weight of " + value);
        }
        return value;
    }

    private static FrameException malformed(String what) {
        return new FrameException(Cause.MALFORMED, what);
    }
}
