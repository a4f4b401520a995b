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
 * Decodes frames from bytes that arrive in pieces of any size. Lengths are never trusted: a frame over the limit is
 * refused before any of it is buffered, the buffer grows with the bytes received, and counts within a frame are checked
 * against the bytes present. A frame that cannot be decoded throws {@link FrameException}; after that the reader must
 * not be fed again. Server ids are cached, so that decoding a line allocates only its record. Not thread-safe: each
 * link has its own.
 */
public final class FrameReader {
    /** Default limit for a frame's body in bytes: a complete list of 10,000 servers fits. */
    public static final int DEFAULT_LIMIT_BYTES = 1 << 20;

    private static final int INITIAL_BUFFER_BYTES = 256;
    /** Buffer that is kept for the next frame; larger ones are given up with the frame that needed them. */
    private static final int MAX_KEPT_BUFFER_BYTES = 16 * 1024;

    // Lower bounds of the bytes that parts of frames take, to refuse impossible counts before anything is allocated.
    private static final int MIN_ORDER_BYTES = 2;
    private static final int TERM_BYTES = 12;
    private static final int MIN_MET_BYTES = 27;
    private static final int CAME_BYTES = 21;
    private static final int MIN_ENTRY_BYTES = 31;
    private static final int MIN_LINE_BYTES = 10;

    /** Where the count of orders is in the body of an orders frame, behind turn, time and count of restated levels. */
    private static final int ORDERS_COUNT_OFFSET = 20;
    /** The longest text of a peer message, in bytes of UTF-8. */
    private static final int MAX_PEER_MESSAGE_BYTES = 256;

    /** Receives the parts of an orders frame without a record for each line; see {@link #visitOrders}. */
    public interface OrderVisitor {
        /** One {@link Order.SetLine}. */
        void line(int table, String server, double weight);

        /** Any other order. */
        void other(Order order);
    }

    /** The longest body in bytes. */
    private int limit;

    private final Consumer<Frame> out;
    private final CRC32C crc = new CRC32C();
    private final TextCache texts = new TextCache();
    /** The beginning of a frame whose end has not arrived. */
    private ByteBuffer partial = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    private boolean midFrame;

    /**
     * @param limit the longest frame body accepted, in bytes
     * @param out receives each frame
     */
    public FrameReader(int limit, Consumer<Frame> out) {
        this.limit = limit;
        this.out = out;
    }

    /** Changes the limit on a frame's body; may be called while a frame is passed on. */
    public void limit(int bytes) {
        limit = bytes;
    }

    /** Returns the size in bytes of the buffers that the reader holds. */
    public int heldBytes() {
        return partial.capacity() + texts.heldBytes();
    }

    /** Returns whether the bytes fed so far end within a frame. */
    public boolean midFrame() {
        return midFrame;
    }

    /** Decodes all bytes of the buffer and passes on each complete frame. */
    public void feed(ByteBuffer in) {
        if (partial.position() == 0) {
            // No partial frame is buffered, so complete frames are decoded in place.
            while (in.remaining() >= FrameWriter.HEADER_BYTES
                    && in.remaining() >= FrameWriter.HEADER_BYTES + bodyLength(in)) {
                decode(in);
            }
        }
        while (in.hasRemaining()) {
            int need = partial.position() < FrameWriter.HEADER_BYTES
                    ? FrameWriter.HEADER_BYTES
                    : FrameWriter.HEADER_BYTES + checked(partial.getInt(0));
            int count = Math.min(in.remaining(), need - partial.position());
            ensureCapacity(partial.position() + count);
            int limitBefore = in.limit();
            in.limit(in.position() + count);
            partial.put(in);
            in.limit(limitBefore);
            if (partial.position() >= FrameWriter.HEADER_BYTES
                    && partial.position() == FrameWriter.HEADER_BYTES + checked(partial.getInt(0))) {
                partial.flip();
                decode(partial);
                partial = partial.capacity() > MAX_KEPT_BUFFER_BYTES
                        ? ByteBuffer.allocate(INITIAL_BUFFER_BYTES)
                        : partial.clear();
            }
        }
        midFrame = partial.position() > 0;
    }

    private int bodyLength(ByteBuffer in) {
        return checked(in.getInt(in.position()));
    }

    /** Returns the length of a frame's body, if it is within the limit. */
    private int checked(int length) {
        if (length < 0 || length > limit) {
            throw new FrameException(
                    Cause.OVERSIZED,
                    "a frame of " + Integer.toUnsignedString(length) + " bytes, " + limit + " is the most");
        }
        return length;
    }

    private void ensureCapacity(int bytes) {
        if (partial.capacity() < bytes) {
            ByteBuffer larger = ByteBuffer.allocate(
                    Math.max(bytes, Math.min(FrameWriter.HEADER_BYTES + limit, partial.capacity() * 2)));
            partial.flip();
            larger.put(partial);
            partial = larger;
        }
    }

    /** Decodes the complete frame at the buffer's position and moves the position behind it. */
    private void decode(ByteBuffer in) {
        int start = in.position();
        int length = in.getInt();
        int type = in.get() & 0xff;
        int major = in.get() & 0xff;
        int flags = in.getShort() & 0xffff;
        int statedChecksum = in.getInt();
        int limitBefore = in.limit();
        int end = start + FrameWriter.HEADER_BYTES + length;
        in.limit(end);
        crc.reset();
        if (in.hasArray()) {
            crc.update(in.array(), in.arrayOffset() + start, FrameWriter.CHECKED_HEADER_BYTES);
            crc.update(in.array(), in.arrayOffset() + start + FrameWriter.HEADER_BYTES, length);
        } else {
            crc.update(in.slice(start, FrameWriter.CHECKED_HEADER_BYTES));
            crc.update(in.slice(start + FrameWriter.HEADER_BYTES, length));
        }
        if ((int) crc.getValue() != statedChecksum) {
            throw new FrameException(Cause.CHECKSUM, "checksum of a frame of type " + type);
        }
        if (major != Frame.MAJOR) {
            throw new FrameException(Cause.VERSION, "version " + major + ", " + Frame.MAJOR + " is spoken here");
        }
        Frame frame;
        try {
            frame = body(type, in);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException truncated) {
            throw new FrameException(Cause.MALFORMED, "a frame of type " + type + " ends within a field");
        }
        if (frame == null && (flags & FrameTypes.FLAG_OPTIONAL) == 0) {
            throw new FrameException(Cause.UNKNOWN_TYPE, "unknown frame type " + type);
        }
        // Fields added by a newer minor version follow the ones known here and are skipped.
        in.limit(limitBefore);
        in.position(end);
        if (frame != null) {
            out.accept(frame);
        }
    }

    /** Decodes a frame's body, the frequent types first; null for an unknown type. */
    private Frame body(int type, ByteBuffer in) throws CharacterCodingException {
        switch (type) {
            case FrameTypes.ORDERS: {
                long turn = in.getLong();
                long at = in.getLong();
                int restated = in.getInt();
                int count = count(in, MIN_ORDER_BYTES);
                if (restated < 0 || restated > count) {
                    throw malformed("orders with " + restated + " carried of " + count);
                }
                List<Order> orders = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    orders.add(order(in));
                }
                List<Frame.Term> terms = List.of();
                if (in.hasRemaining()) {
                    int termCount = count(in, TERM_BYTES);
                    terms = new ArrayList<>(termCount);
                    for (int i = 0; i < termCount; i++) {
                        terms.add(new Frame.Term(in.getInt(), notNegative(in.getLong(), "term")));
                    }
                }
                return new Frame.Orders(turn, at, restated, orders, terms);
            }
            case FrameTypes.SUMS: {
                int zone = in.getInt();
                long round = in.getLong();
                long span = in.getLong();
                int count = count(in, MIN_MET_BYTES);
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
            case FrameTypes.DEMAND: {
                long round = in.getLong();
                long span = in.getLong();
                int count = count(in, CAME_BYTES);
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
            case FrameTypes.APPLIED:
                return new Frame.Applied(in.getInt(), in.getLong());
            case FrameTypes.PING:
                return new Frame.Ping(in.getLong());
            case FrameTypes.PONG:
                return new Frame.Pong(in.getLong());
            default:
                return rareBody(type, in);
        }
    }

    /** Decodes the frame types that are not sent in every round; null for an unknown type. */
    private Frame rareBody(int type, ByteBuffer in) throws CharacterCodingException {
        switch (type) {
            case FrameTypes.HELLO: {
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
            case FrameTypes.WELCOME:
                return new Frame.Welcome(in.get(), in.getInt(), in.getLong());
            case FrameTypes.REFUSAL:
                return new Frame.Refusal(pick(Frame.RefusalReason.values(), in.get(), "refusal"), text(in));
            case FrameTypes.BYE:
                return new Frame.Bye();
            case FrameTypes.SERVER_LIST: {
                Event.ListKind kind = pick(Event.ListKind.values(), in.get(), "list kind");
                long version = in.getLong();
                int count = count(in, MIN_ENTRY_BYTES);
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
            case FrameTypes.FOLLOW:
                return new Frame.Follow(in.get() != 0);
            case FrameTypes.FETCH:
                return new Frame.Fetch();
            case FrameTypes.CHARGE:
                return new Frame.Charge(in.getInt(), in.get() != 0);
            case FrameTypes.STORED: {
                int slice = in.getInt();
                int count = count(in, MIN_LINE_BYTES);
                List<Frame.Line> lines = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    lines.add(new Frame.Line(text(in), weight(in.getDouble())));
                }
                return new Frame.Stored(slice, lines);
            }
            case FrameTypes.READ_SLICE:
                return new Frame.ReadSlice(in.getInt());
            case FrameTypes.OWNER:
                return new Frame.Owner(
                        in.getInt(), in.getInt(), in.hasRemaining() ? notNegative(in.getLong(), "term") : 0);
            case FrameTypes.STALE:
                return new Frame.Stale(in.getInt(), notNegative(in.getLong(), "term"));
            case FrameTypes.WATCH:
                return new Frame.Watch();
            case FrameTypes.SYNCED:
                return new Frame.Synced();
            case FrameTypes.MEMBER_RECORD: {
                long id = in.getLong();
                long revision = in.getLong();
                int number = in.getInt();
                long incarnation = in.getLong();
                long heartbeat = notNegative(in.getLong(), "beat");
                int flags = in.get();
                return new Frame.MemberRecord(
                        id,
                        revision,
                        number,
                        incarnation,
                        heartbeat,
                        (flags & 1) != 0,
                        (flags & 2) != 0,
                        (flags & 4) != 0,
                        in.getInt());
            }
            case FrameTypes.SLICE_OWNER_RECORD:
                return new Frame.SliceOwnerRecord(
                        in.getLong(),
                        in.getLong(),
                        in.getInt(),
                        in.getInt(),
                        in.getLong(),
                        notNegative(in.getLong(), "term"));
            case FrameTypes.WRITTEN:
                return new Frame.Written(in.getLong(), in.get() != 0);
            case FrameTypes.PEER: {
                int sender = in.getInt();
                String text = text(in);
                // Only the length is limited here; the decision logic of the two coordinators defines the content.
                if (text.getBytes(StandardCharsets.UTF_8).length > MAX_PEER_MESSAGE_BYTES) {
                    throw malformed("a peer message over 256 bytes");
                }
                return new Frame.Peer(sender, text);
            }
            default:
                return null;
        }
    }

    private static long notNegative(long number, String what) {
        if (number < 0) {
            throw malformed("a negative " + what);
        }
        return number;
    }

    private Order order(ByteBuffer in) throws CharacterCodingException {
        byte kind = in.get();
        switch (kind) {
            case FrameTypes.ORDER_SET_LINE:
                return new Order.SetLine(in.getInt(), text(in), weight(in.getDouble()));
            case FrameTypes.ORDER_CLEAR_TABLE:
                return new Order.ClearTable(in.getInt());
            case FrameTypes.ORDER_BIND:
                return new Order.Bind(in.getInt(), in.getInt(), in.getInt());
            case FrameTypes.ORDER_MASK: {
                boolean on = in.get() != 0;
                return new Order.Mask(text(in), on);
            }
            case FrameTypes.ORDER_SET_LEVEL:
                return new Order.SetLevel(
                        in.getInt(),
                        in.getInt(),
                        weight(in.getDouble()),
                        pick(Order.Retry.values(), in.get(), "way of trying again"));
            case FrameTypes.ORDER_MARK:
                return new Order.Mark(in.getInt(), in.get() != 0);
            default:
                throw malformed("unknown order " + kind);
        }
    }

    /** Decodes one complete orders frame without a record for each line: the fast way to read large tables. */
    public void visitOrders(ByteBuffer frame, OrderVisitor to) {
        int at = frame.position() + FrameWriter.HEADER_BYTES + ORDERS_COUNT_OFFSET;
        try {
            ByteBuffer in = frame.duplicate().position(at);
            int count = count(in, MIN_ORDER_BYTES);
            for (int i = 0; i < count; i++) {
                if (in.get(in.position()) == FrameTypes.ORDER_SET_LINE) {
                    in.get();
                    int table = in.getInt();
                    String server = text(in);
                    to.line(table, server, weight(in.getDouble()));
                } else {
                    to.other(order(in));
                }
            }
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException truncated) {
            throw new FrameException(Cause.MALFORMED, "orders end within a line");
        }
    }

    /** Reads a load report: a bit set of measures, then their values. Measures unknown here are skipped. */
    private static Map<Event.Measure, Double> report(ByteBuffer in) {
        int bits = in.get() & 0xff;
        if (bits == 0) {
            return Map.of();
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        for (int bit = 0; bit < 8; bit++) {
            if ((bits & 1 << bit) != 0) {
                double value = finite(in.getDouble());
                if (bit < FrameTypes.MEASURES.length) {
                    report.put(FrameTypes.MEASURES[bit], value);
                }
            }
        }
        return report;
    }

    /**
     * Reads a count of parts, each at least {@code leastBytes} long; refuses more parts than the frame has bytes for.
     */
    private static int count(ByteBuffer in, int leastBytes) {
        int count = in.getInt();
        if (count < 0 || (long) count * leastBytes > in.remaining()) {
            throw malformed("a count of " + count + " in " + in.remaining() + " bytes");
        }
        return count;
    }

    /** Reads a text: its length in two bytes, then UTF-8. */
    private String text(ByteBuffer in) throws CharacterCodingException {
        int length = in.getShort() & 0xffff;
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        return texts.read(in, length);
    }

    /** Returns the enum constant with that ordinal, or refuses the frame. */
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

    /** Refuses a weight that is negative, infinite or not a number. */
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
