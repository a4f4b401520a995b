package puffinbarrow.memory;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Facts as bytes, and batches of them that stand or fall as one; docs/memory-format.md states every byte. Reading
 * never throws out of here but {@link Damaged}, and never trusts a length. Not thread-safe.
 */
final class Codec {
    static final int MAGIC = 0x50554646;
    static final int VERSION = 2;
    /** The oldest version that is read: it had no size and load of a server, and no calm load of a whole fleet. */
    static final int OLDEST = 1;

    static final int FILE_HEADER = 24;
    static final int BATCH_HEADER = 20;
    private static final int SERVER = 1, SLICE = 2, SELF = 3, GONE = 4, END = 5;
    /** A batch over this is damage: the writer never hands over more than its bounded queue. */
    static final int LONGEST_BATCH = 64 << 20;

    /** The bytes are not what was written. */
    static final class Damaged extends Exception {
        private static final long serialVersionUID = 1;

        Damaged(String message) {
            super(message, null, false, false);
        }
    }

    private ByteBuffer to = ByteBuffer.allocate(1 << 16);
    private final CRC32C crc = new CRC32C();

    /** A file's first bytes: magic, version, kind, generation, checksum of these. */
    static ByteBuffer header(int version, int kind, long generation) {
        ByteBuffer header = ByteBuffer.allocate(FILE_HEADER);
        header.putInt(MAGIC)
                .putShort((short) version)
                .putShort((short) kind)
                .putLong(generation)
                .putInt(0);
        CRC32C sum = new CRC32C();
        sum.update(header.array(), 0, 20);
        return header.putInt((int) sum.getValue()).flip();
    }

    record Header(int version, int kind, long generation) {}

    static Header header(ByteBuffer in) throws Damaged {
        if (in.remaining() < FILE_HEADER) {
            throw new Damaged("the file ends within its header");
        }
        CRC32C sum = new CRC32C();
        sum.update(in.slice(in.position(), 20));
        int magic = in.getInt();
        Header header = new Header(in.getShort() & 0xffff, in.getShort() & 0xffff, in.getLong());
        in.getInt();
        if (magic != MAGIC) {
            throw new Damaged("no memory file");
        }
        if (in.getInt() != (int) sum.getValue()) {
            throw new Damaged("the header's checksum is wrong");
        }
        if (header.version < OLDEST || header.version > VERSION) {
            throw new Damaged("version " + header.version + ", read are " + OLDEST + " to " + VERSION);
        }
        return header;
    }

    // ---- Writing.

    private int count;

    void begin() {
        to.clear();
        to.position(BATCH_HEADER);
        count = 0;
    }

    void add(Facts.Fact fact) {
        count++;
        if (fact instanceof Facts.OfServer f) {
            byte[] id = f.id().getBytes(StandardCharsets.UTF_8);
            byte[] standing = f.standing().getBytes(StandardCharsets.UTF_8);
            room(64
                    + id.length
                    + standing.length
                    + 8 * (f.starts().size() + f.falls().size() + f.returns().size())
                    + 24);
            to.put((byte) SERVER);
            text(id);
            to.putLong(f.atNs()).putLong(f.drainingSinceNs());
            times(f.starts());
            times(f.falls());
            times(f.returns());
            text(standing);
            to.putLong(f.holdNs()).putDouble(f.tookNs()).putDouble(f.size()).putDouble(f.load());
        } else if (fact instanceof Facts.OfSlice f) {
            room(40);
            to.put((byte) SLICE)
                    .putInt(f.slice())
                    .putLong(f.atNs())
                    .putDouble(f.demand())
                    .putLong(f.version());
            to.putShort((short) f.lines().size());
            for (Facts.Line line : f.lines()) {
                byte[] server = line.server().getBytes(StandardCharsets.UTF_8);
                room(10 + server.length);
                text(server);
                to.putDouble(line.weight());
            }
        } else if (fact instanceof Facts.OfSelf f) {
            room(72 + 4 * f.charges().size());
            to.put((byte) SELF)
                    .putLong(f.atNs())
                    .putLong(f.runNs())
                    .putLong(f.incarnation())
                    .put((byte) (f.cleanEnd() ? 1 : 0))
                    .putDouble(f.calmLoad())
                    .putDouble(f.shed())
                    .put((byte) (f.strained() ? 1 : 0))
                    .putInt(f.charges().size());
            f.charges().forEach(to::putInt);
            to.putDouble(f.calmWhole());
        }
    }

    void addGone(String key) {
        count++;
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        room(3 + bytes.length);
        to.put((byte) GONE);
        text(bytes);
    }

    /** Marks that a snapshot is whole: without it, one that was cut between two batches would look whole too. */
    void addEnd(long facts) {
        count++;
        room(9);
        to.put((byte) END).putLong(facts);
    }

    /** The batch: length, count, sequence, checksum, facts. The writer keeps the buffer until the next begin. */
    ByteBuffer end(long sequence) {
        int length = to.position() - BATCH_HEADER;
        to.putInt(0, length).putInt(4, count).putLong(8, sequence);
        crc.reset();
        crc.update(to.array(), 0, 16);
        crc.update(to.array(), BATCH_HEADER, length);
        to.putInt(16, (int) crc.getValue());
        return ByteBuffer.wrap(to.array(), 0, BATCH_HEADER + length);
    }

    int bytes() {
        return to.position();
    }

    private void times(List<Long> times) {
        to.put((byte) times.size());
        times.forEach(to::putLong);
    }

    private void text(byte[] bytes) {
        to.putShort((short) bytes.length).put(bytes);
    }

    private void room(int bytes) {
        if (to.remaining() < bytes) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(to.capacity() * 2, to.position() + bytes));
            to.flip();
            larger.put(to);
            to = larger;
        }
    }

    // ---- Reading.

    /** What a batch says. */
    interface Into {
        void fact(Facts.Fact fact);

        void gone(String key);

        default void end(long facts) {}
    }

    /** Reads one batch whole; its sequence, or -1 at a clean end. */
    static long batch(ByteBuffer in, int version, Into into) throws Damaged {
        if (!in.hasRemaining()) {
            return -1;
        }
        if (in.remaining() < BATCH_HEADER) {
            throw new Damaged("the file ends within a batch's header");
        }
        int begin = in.position();
        int length = in.getInt();
        int count = in.getInt();
        long sequence = in.getLong();
        int stated = in.getInt();
        if (length < 0 || length > LONGEST_BATCH || length > in.remaining() || count < 0 || sequence < 0) {
            throw new Damaged("a batch of " + length + " bytes where " + in.remaining() + " are left");
        }
        CRC32C sum = new CRC32C();
        sum.update(in.slice(begin, 16));
        sum.update(in.slice(in.position(), length));
        if ((int) sum.getValue() != stated) {
            throw new Damaged("a batch's checksum is wrong");
        }
        ByteBuffer body = in.slice(in.position(), length);
        List<Runnable> all = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                one(body, version, into, all::add);
            }
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException cut) {
            throw new Damaged("a fact ends within a field");
        }
        if (body.hasRemaining()) {
            throw new Damaged("a batch is longer than its facts");
        }
        // Only a batch that is sound to its end says anything.
        all.forEach(Runnable::run);
        in.position(begin + BATCH_HEADER + length);
        return sequence;
    }

    private static void one(ByteBuffer in, int version, Into into, Consumer<Runnable> later)
            throws Damaged, CharacterCodingException {
        int kind = in.get();
        switch (kind) {
            case SERVER -> {
                String id = text(in);
                long at = in.getLong();
                long draining = in.getLong();
                List<Long> starts = times(in);
                List<Long> falls = times(in);
                List<Long> returns = times(in);
                String standing = text(in);
                long hold = in.getLong();
                double took = in.getDouble();
                double size = version >= 2 ? in.getDouble() : 1;
                double load = version >= 2 ? in.getDouble() : Double.NaN;
                Facts.Fact fact =
                        new Facts.OfServer(id, at, draining, starts, falls, returns, standing, hold, size, took, load);
                later.accept(() -> into.fact(fact));
            }
            case SLICE -> {
                int slice = in.getInt();
                long at = in.getLong();
                double demand = in.getDouble();
                long ordered = in.getLong();
                int count = in.getShort() & 0xffff;
                List<Facts.Line> lines = new ArrayList<>(Math.min(count, 64));
                for (int i = 0; i < count; i++) {
                    lines.add(new Facts.Line(text(in), in.getDouble()));
                }
                Facts.Fact fact = new Facts.OfSlice(slice, at, lines, demand, ordered);
                later.accept(() -> into.fact(fact));
            }
            case SELF -> {
                long at = in.getLong();
                long run = in.getLong();
                long incarnation = in.getLong();
                boolean clean = in.get() != 0;
                double calm = in.getDouble();
                double shed = in.getDouble();
                boolean strained = in.get() != 0;
                int count = in.getInt();
                if (count < 0 || count > in.remaining() / 4) {
                    throw new Damaged("a count of " + count);
                }
                List<Integer> charges = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    charges.add(in.getInt());
                }
                double whole = version >= 2 ? in.getDouble() : 0;
                Facts.Fact fact = new Facts.OfSelf(at, run, incarnation, clean, charges, calm, whole, shed, strained);
                later.accept(() -> into.fact(fact));
            }
            case GONE -> {
                String key = text(in);
                later.accept(() -> into.gone(key));
            }
            case END -> {
                long facts = in.getLong();
                later.accept(() -> into.end(facts));
            }
            default -> throw new Damaged("a fact of kind " + kind);
        }
    }

    private static List<Long> times(ByteBuffer in) {
        int count = in.get() & 0xff;
        List<Long> times = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            times.add(in.getLong());
        }
        return times;
    }

    private static String text(ByteBuffer in) throws CharacterCodingException {
        int length = in.getShort() & 0xffff;
        ByteBuffer part = in.slice(in.position(), Math.min(length, in.remaining()));
        if (part.remaining() < length) {
            throw new BufferUnderflowException();
        }
        in.position(in.position() + length);
        return StandardCharsets.UTF_8.newDecoder().decode(part).toString();
    }
}
