package puffinbarrow.proto;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.proto.FrameException.Cause;

/** Encoding and decoding of frames: every type split at any position, and the refusal of damaged or invalid ones. */
class FrameTest {
    static final List<Frame> ALL = List.of(
            new Frame.Hello(1, 0, Frame.Role.PROXY, 41, 2, 99, true, 6.5),
            new Frame.Welcome(0, 1, 7),
            new Frame.Refusal(Frame.RefusalReason.NUMBER_TAKEN, "číslo 41"),
            new Frame.Bye(),
            new Frame.Ping(5),
            new Frame.Pong(6),
            new Frame.Orders(
                    12,
                    34,
                    1,
                    List.of(
                            new Order.SetLine(3, "10.0.0.1:80", 0.75),
                            new Order.ClearTable(4),
                            new Order.Bind(1, 2, 3),
                            new Order.Mask("b:1", true),
                            new Order.Mark(65535, true),
                            new Order.SetLevel(Order.ALL_TABLES, 2, 0.4, Order.Retry.ON_PROOF))),
            new Frame.Applied(12, 1_000_000),
            new Frame.Sums(
                    1,
                    8,
                    1_000_000_000L,
                    List.of(
                            new Frame.Met(
                                    "a:1",
                                    14,
                                    1,
                                    99,
                                    Map.of(Event.Measure.BUSY, 0.62, Event.Measure.DELIVERED_PER_S, 140.0)),
                            new Frame.Met("a:2", 1, 1, 0, Map.of()))),
            new Frame.Demand(8, 1_000_000_000L, List.of(new Frame.Came(3, 1, 9, 2), new Frame.Came(-1, 0, 1, 0))),
            new Frame.ServerList(
                    Event.ListKind.PATCH,
                    41,
                    List.of(new Event.Entry("a:1", 1, 0, 3, Event.Listed.DRAINING, 1.5, 6_100_000_000L))),
            new Frame.Follow(true),
            new Frame.Fetch(),
            new Frame.Charge(9, true),
            new Frame.Stored(9, List.of(new Frame.Line("a:1", 1))),
            new Frame.ReadSlice(-1),
            new Frame.Owner(9, 2),
            new Frame.Orders(1, 2, 0, List.of(new Order.ClearTable(4)), List.of(new Frame.Term(4, 77))),
            new Frame.Owner(9, 2, 5),
            new Frame.Stale(3, 8),
            new Frame.Watch(),
            new Frame.Synced(),
            new Frame.Written(6, true),
            new Frame.MemberRecord(5, 4, 1, -9, 77, true, false, true, 2),
            new Frame.SliceOwnerRecord(5, 4, 9, -1, 3, 12),
            new Frame.Peer(1, "hi 7"));

    private static ByteBuffer all() {
        ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
        ALL.forEach(f -> bytes.put(FrameWriter.encode(f)));
        return bytes.flip();
    }

    /** Feeds the bytes, expects a refusal and returns its cause. */
    private static Cause refused(ByteBuffer bytes, int limit) {
        return assertThrows(FrameException.class, () -> new FrameReader(limit, f -> {}).feed(bytes))
                .why();
    }

    @Test
    void everyFrameIsDecodedWhenSplitAtAnyPosition() {
        int length = all().remaining();
        for (int cut = 0; cut <= length; cut++) {
            List<Frame> read = new ArrayList<>();
            FrameReader reader = new FrameReader(FrameReader.DEFAULT_LIMIT_BYTES, read::add);
            reader.feed(all().limit(cut));
            reader.feed(all().position(cut));
            assertEquals(ALL, read, "cut at " + cut);
            assertFalse(reader.midFrame());
        }
    }

    @Test
    void framesAreDecodedByteByByte() {
        List<Frame> read = new ArrayList<>();
        FrameReader reader = new FrameReader(FrameReader.DEFAULT_LIMIT_BYTES, read::add);
        for (ByteBuffer bytes = all(); bytes.hasRemaining(); ) {
            reader.feed(ByteBuffer.wrap(new byte[] {bytes.get()}));
        }
        assertEquals(ALL, read);
    }

    @Test
    void everyDamagedByteIsDetected() {
        ByteBuffer intact = FrameWriter.encode(ALL.get(6));
        for (int at = 0; at < intact.limit(); at++) {
            ByteBuffer bytes = ByteBuffer.wrap(Arrays.copyOf(intact.array(), intact.limit()));
            bytes.put(at, (byte) (bytes.get(at) ^ 0x20));
            List<Frame> read = new ArrayList<>();
            FrameReader reader = new FrameReader(1 << 12, read::add);
            try {
                reader.feed(bytes);
                // A damaged length may be longer than what was sent: the reader waits, and must not pass on a frame.
                assertTrue(at < 4 && reader.midFrame(), "byte " + at);
            } catch (FrameException detected) {
                assertTrue(detected.why() == Cause.CHECKSUM || detected.why() == Cause.OVERSIZED, "byte " + at);
            }
            assertTrue(read.isEmpty());
        }
    }

    @Test
    void aLengthOverTheLimitIsRefusedBeforeItIsBuffered() {
        assertEquals(Cause.OVERSIZED, refused(ByteBuffer.allocate(12).putInt(0, 1 << 30), 1 << 20));
        assertEquals(Cause.OVERSIZED, refused(ByteBuffer.allocate(12).putInt(0, -1), 1 << 20));
    }

    /** Encodes a frame with another type and flags, with bytes cut off its body and others appended. */
    private static ByteBuffer altered(Frame frame, int type, int flags, int cut, byte... more) {
        FrameWriter writer = new FrameWriter();
        writer.write(frame);
        writer.cutAndAdd(cut, more);
        ByteBuffer sealed = writer.seal(type, flags);
        ByteBuffer own = ByteBuffer.allocate(sealed.remaining());
        return own.put(sealed).flip();
    }

    @Test
    void anUnknownTypeIsRefusedUnlessMarkedOptional() {
        assertEquals(Cause.UNKNOWN_TYPE, refused(altered(new Frame.Ping(1), 200, 0, 0), 1 << 12));
        List<Frame> read = new ArrayList<>();
        FrameReader reader = new FrameReader(1 << 12, read::add);
        reader.feed(altered(new Frame.Ping(1), 200, FrameTypes.FLAG_OPTIONAL, 0));
        reader.feed(FrameWriter.encode(new Frame.Bye()));
        assertEquals(List.of(new Frame.Bye()), read);
    }

    @Test
    void fieldsAddedByANewerMinorVersionAreSkipped() {
        List<Frame> read = new ArrayList<>();
        FrameReader reader = new FrameReader(1 << 12, read::add);
        reader.feed(altered(new Frame.Applied(3, 4), FrameTypes.APPLIED, 0, 0, (byte) 1, (byte) 2, (byte) 3));
        reader.feed(FrameWriter.encode(new Frame.Bye()));
        assertEquals(List.of(new Frame.Applied(3, 4), new Frame.Bye()), read);
    }

    @Test
    void anotherMajorVersionIsRefused() {
        ByteBuffer bytes = FrameWriter.encode(new Frame.Bye());
        bytes.put(5, (byte) 2);
        CRC32C crc = new CRC32C();
        crc.update(bytes.array(), 0, 8);
        bytes.putInt(8, (int) crc.getValue());
        assertEquals(Cause.VERSION, refused(bytes, 1 << 12));
    }

    @Test
    void truncatedFieldsAndImpossibleValuesAreRefused() {
        for (int cut = 1; cut < 20; cut++) {
            assertEquals(Cause.MALFORMED, refused(altered(ALL.get(8), FrameTypes.SUMS, 0, cut), 1 << 12), "cut " + cut);
        }
        ByteBuffer many = altered(
                new Frame.Orders(1, 1, 0, List.of()),
                FrameTypes.ORDERS,
                0,
                4,
                (byte) 0x7f,
                (byte) 0xff,
                (byte) 0xff,
                (byte) 0xff);
        assertEquals(Cause.MALFORMED, refused(many, 1 << 12));
        assertEquals(
                Cause.MALFORMED,
                refused(
                        FrameWriter.encode(new Frame.Orders(1, 1, 0, List.of(new Order.SetLine(1, "a:1", Double.NaN)))),
                        1 << 12));
        assertEquals(Cause.MALFORMED, refused(FrameWriter.encode(new Frame.Peer(1, "x".repeat(257))), 1 << 12));
    }

    @Test
    void aServerIdIsDecodedOnce() {
        List<Frame> read = new ArrayList<>();
        FrameReader reader = new FrameReader(1 << 12, read::add);
        reader.feed(FrameWriter.encode(new Frame.Stored(1, List.of(new Frame.Line("10.0.0.1:80", 1)))));
        reader.feed(FrameWriter.encode(new Frame.Stored(2, List.of(new Frame.Line("10.0.0.1:80", 1)))));
        assertSame(
                ((Frame.Stored) read.get(0)).lines().get(0).server(),
                ((Frame.Stored) read.get(1)).lines().get(0).server());
    }

    /** Guards against a heap filled by headers that announce long frames of which nothing follows. */
    @Test
    void memoryGrowsWithTheBytesReceivedAndNotWithTheLengthAnnounced() {
        FrameReader reader = new FrameReader(1 << 20, frame -> {});
        reader.feed(ByteBuffer.allocate(FrameWriter.HEADER_BYTES).putInt(0, 1_000_000));
        assertTrue(reader.heldBytes() <= 1024, "held after the header: " + reader.heldBytes());
        reader.feed(ByteBuffer.allocate(100_000));
        assertTrue(reader.heldBytes() <= 300_000, "held after 100 kB: " + reader.heldBytes());
    }
}
