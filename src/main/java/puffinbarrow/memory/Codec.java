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
 * Binary encoding of facts, and of batches of facts that are valid only as a whole; docs/memory-format.md specifies the
 * format. Reading checks every length against the input and reports any invalid input as {@link CorruptException}. Not
 * thread-safe; {@link Store} has one instance for writing.
 */
final class Codec {
    static final int MAGIC = 0x50554646;
    static final int VERSION = 2;
    /** The oldest readable version: it has no size and load of a server, and no {@code calmWhole}. */
    static final int OLDEST_VERSION = 1;

    /** Length of a file's header, in bytes. */
    static final int FILE_HEADER = 24;
    /** Length of a batch's header, in bytes. */
    static final int BATCH_HEADER = 20;

    private static final int SERVER = 1;
    private static final int SLICE = 2;
    private static final int SELF = 3;
    private static final int REMOVED = 4;
    private static final int END = 5;
    /** In bytes. A longer batch is corrupt, because the writer's queue is bounded. */
    static final int MAX_BATCH = 64 << 20;

    /** The input is not a valid file or batch. */
    static final class CorruptException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptException(String message) {
            super(message, null, false, false);
        }
    }

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
    private final CRC32C crc = new CRC32C();

    /** Returns a file's header: magic, version, kind, generation, four zero bytes, checksum of these. */
    static ByteBuffer header(int version, int kind, long generation) {
        ByteBuffer header = ByteBuffer.allocate(FILE_HEADER);
        header.putInt(MAGIC)
                .putShort((short) version)
                .putShort((short) kind)
                .putLong(generation)
                .putInt(0);
        CRC32C checksum = new CRC32C();
        checksum.update(header.array(), 0, 20);
        return header.putInt((int) checksum.getValue()).flip();
    }

    /** A file's header; {@code kind} distinguishes snapshots from journals. */
    record Header(int version, int kind, long generation) {}

    static Header readHeader(ByteBuffer in) throws CorruptException {
        if (in.remaining() < FILE_HEADER) {
            throw new CorruptException("file truncated within its header");
        }
        CRC32C checksum = new CRC32C();
        checksum.update(in.slice(in.position(), 20));
        int magic = in.getInt();
        Header header = new Header(in.getShort() & 0xffff, in.getShort() & 0xffff, in.getLong());
        in.getInt();
        if (magic != MAGIC) {
            throw new CorruptException("not a memory file: wrong magic number");
        }
        if (in.getInt() != (int) checksum.getValue()) {
            throw new CorruptException("wrong checksum of the file header");
        }
        if (header.version < OLDEST_VERSION || header.version > VERSION) {
            throw new CorruptException(
                    "version " + header.version + ", supported are " + OLDEST_VERSION + " to " + VERSION);
        }
        return header;
    }

    // ---- Writing.

    /** Entries in the batch being written. */
    private int count;

    /** Starts a batch; the buffer of the previous one is reused. */
    void beginBatch() {
        buffer.clear();
        buffer.position(BATCH_HEADER);
        count = 0;
    }

    /** Adds a fact to the batch. */
    void add(Facts.Fact fact) {
        count++;
        if (fact instanceof Facts.ServerFact f) {
            byte[] id = f.id().getBytes(StandardCharsets.UTF_8);
            byte[] state = f.state().getBytes(StandardCharsets.UTF_8);
            ensureCapacity(64
                    + id.length
                    + state.length
                    + 8 * (f.starts().size() + f.falls().size() + f.returns().size())
                    + 24);
            buffer.put((byte) SERVER);
            putText(id);
            buffer.putLong(f.atNs()).putLong(f.drainingSinceNs());
            putTimes(f.starts());
            putTimes(f.falls());
            putTimes(f.returns());
            putText(state);
            buffer.putLong(f.holdNs())
                    .putDouble(f.latencyNs())
                    .putDouble(f.size())
                    .putDouble(f.load());
        } else if (fact instanceof Facts.SliceFact f) {
            ensureCapacity(40);
            buffer.put((byte) SLICE)
                    .putInt(f.slice())
                    .putLong(f.atNs())
                    .putDouble(f.demand())
                    .putLong(f.version());
            buffer.putShort((short) f.lines().size());
            for (Facts.Line line : f.lines()) {
                byte[] server = line.server().getBytes(StandardCharsets.UTF_8);
                ensureCapacity(10 + server.length);
                putText(server);
                buffer.putDouble(line.weight());
            }
        } else if (fact instanceof Facts.CoordinatorFact f) {
            ensureCapacity(72 + 4 * f.heldSlices().size());
            buffer.put((byte) SELF)
                    .putLong(f.atNs())
                    .putLong(f.monotonicNs())
                    .putLong(f.incarnation())
                    .put((byte) (f.cleanShutdown() ? 1 : 0))
                    .putDouble(f.calmLoad())
                    .putDouble(f.shed())
                    .put((byte) (f.overloaded() ? 1 : 0))
                    .putInt(f.heldSlices().size());
            f.heldSlices().forEach(buffer::putInt);
            buffer.putDouble(f.calmWhole());
        }
    }

    /** Adds the removal of the fact with this key. */
    void addRemoved(String key) {
        count++;
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        ensureCapacity(3 + bytes.length);
        buffer.put((byte) REMOVED);
        putText(bytes);
    }

    /** Marks the end of a snapshot: without it, a snapshot truncated between two batches would look complete. */
    void addEnd(long facts) {
        count++;
        ensureCapacity(9);
        buffer.put((byte) END).putLong(facts);
    }

    /** Returns the finished batch: length, count, sequence, checksum, facts. It is valid until {@link #beginBatch}. */
    ByteBuffer endBatch(long sequence) {
        int length = buffer.position() - BATCH_HEADER;
        buffer.putInt(0, length).putInt(4, count).putLong(8, sequence);
        crc.reset();
        crc.update(buffer.array(), 0, 16);
        crc.update(buffer.array(), BATCH_HEADER, length);
        buffer.putInt(16, (int) crc.getValue());
        return ByteBuffer.wrap(buffer.array(), 0, BATCH_HEADER + length);
    }

    /** The length so far of the batch being written, including its header, in bytes. */
    int position() {
        return buffer.position();
    }

    private void putTimes(List<Long> times) {
        buffer.put((byte) times.size());
        times.forEach(buffer::putLong);
    }

    private void putText(byte[] bytes) {
        buffer.putShort((short) bytes.length).put(bytes);
    }

    private void ensureCapacity(int bytes) {
        if (buffer.remaining() < bytes) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position() + bytes));
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
    }

    // ---- Reading.

    /** Receives the contents of a batch in order. */
    interface BatchVisitor {
        void fact(Facts.Fact fact);

        void removed(String key);

        /** The end of a snapshot with so many facts. */
        default void end(long facts) {}
    }

    /**
     * Reads one batch and returns its sequence, or -1 at the end of the input. The visitor is called only if it is
     * valid.
     */
    static long readBatch(ByteBuffer in, int version, BatchVisitor visitor) throws CorruptException {
        if (!in.hasRemaining()) {
            return -1;
        }
        if (in.remaining() < BATCH_HEADER) {
            throw new CorruptException("file truncated within a batch header");
        }
        int start = in.position();
        int length = in.getInt();
        int count = in.getInt();
        long sequence = in.getLong();
        int expectedChecksum = in.getInt();
        if (length < 0 || length > MAX_BATCH || length > in.remaining() || count < 0 || sequence < 0) {
            throw new CorruptException("batch of " + length + " bytes, but " + in.remaining() + " bytes are left");
        }
        CRC32C checksum = new CRC32C();
        checksum.update(in.slice(start, 16));
        checksum.update(in.slice(in.position(), length));
        if ((int) checksum.getValue() != expectedChecksum) {
            throw new CorruptException("wrong checksum of a batch");
        }
        ByteBuffer body = in.slice(in.position(), length);
        List<Runnable> calls = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                readFact(body, version, visitor, calls::add);
            }
        } catch (BufferUnderflowException | IndexOutOfBoundsException | CharacterCodingException malformed) {
            throw new CorruptException("malformed fact in a batch");
        }
        if (body.hasRemaining()) {
            throw new CorruptException("batch is longer than its facts");
        }
        // The visitor is called only once the complete batch has been read without error.
        calls.forEach(Runnable::run);
        in.position(start + BATCH_HEADER + length);
        return sequence;
    }

    private static void readFact(ByteBuffer in, int version, BatchVisitor visitor, Consumer<Runnable> deferred)
            throws CorruptException, CharacterCodingException {
        int kind = in.get();
        switch (kind) {
            case SERVER -> {
                String id = getText(in);
                long atNs = in.getLong();
                long drainingSinceNs = in.getLong();
                List<Long> starts = getTimes(in);
                List<Long> falls = getTimes(in);
                List<Long> returns = getTimes(in);
                String state = getText(in);
                long holdNs = in.getLong();
                double latencyNs = in.getDouble();
                double size = version >= 2 ? in.getDouble() : 1;
                double load = version >= 2 ? in.getDouble() : Double.NaN;
                Facts.Fact fact = new Facts.ServerFact(
                        id, atNs, drainingSinceNs, starts, falls, returns, state, holdNs, size, latencyNs, load);
                deferred.accept(() -> visitor.fact(fact));
            }
            case SLICE -> {
                int slice = in.getInt();
                long atNs = in.getLong();
                double demand = in.getDouble();
                long tableVersion = in.getLong();
                int count = in.getShort() & 0xffff;
                List<Facts.Line> lines = new ArrayList<>(Math.min(count, 64));
                for (int i = 0; i < count; i++) {
                    lines.add(new Facts.Line(getText(in), in.getDouble()));
                }
                Facts.Fact fact = new Facts.SliceFact(slice, atNs, lines, demand, tableVersion);
                deferred.accept(() -> visitor.fact(fact));
            }
            case SELF -> {
                long atNs = in.getLong();
                long monotonicNs = in.getLong();
                long incarnation = in.getLong();
                boolean cleanShutdown = in.get() != 0;
                double calmLoad = in.getDouble();
                double shed = in.getDouble();
                boolean overloaded = in.get() != 0;
                int count = in.getInt();
                if (count < 0 || count > in.remaining() / 4) {
                    throw new CorruptException("invalid number of slices: " + count);
                }
                List<Integer> heldSlices = new ArrayList<>(count);
                for (int i = 0; i < count; i++) {
                    heldSlices.add(in.getInt());
                }
                double calmWhole = version >= 2 ? in.getDouble() : 0;
                Facts.Fact fact = new Facts.CoordinatorFact(
                        atNs,
                        monotonicNs,
                        incarnation,
                        cleanShutdown,
                        heldSlices,
                        calmLoad,
                        calmWhole,
                        shed,
                        overloaded);
                deferred.accept(() -> visitor.fact(fact));
            }
            case REMOVED -> {
                String key = getText(in);
                deferred.accept(() -> visitor.removed(key));
            }
            case END -> {
                long facts = in.getLong();
                deferred.accept(() -> visitor.end(facts));
            }
            default -> throw new CorruptException("unknown kind of fact: " + kind);
        }
    }

    private static List<Long> getTimes(ByteBuffer in) {
        int count = in.get() & 0xff;
        List<Long> times = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            times.add(in.getLong());
        }
        return times;
    }

    private static String getText(ByteBuffer in) throws CharacterCodingException {
        int length = in.getShort() & 0xffff;
        ByteBuffer encoded = in.slice(in.position(), Math.min(length, in.remaining()));
        if (encoded.remaining() < length) {
            throw new BufferUnderflowException();
        }
        in.position(in.position() + length);
        return StandardCharsets.UTF_8.newDecoder().decode(encoded).toString();
    }
}
