package puffinbarrow.memory;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Durable storage of facts in one directory: in each generation a snapshot, and a journal of the commits after it. A
 * batch is committed by one write and a force; a new generation by the rename of its snapshot, which is complete and
 * forced before. At any moment the newest complete snapshot plus the valid prefix of its journal is a consistent state
 * no older than the last acknowledged commit. Not thread-safe; {@link FactWriter} uses it on its writer thread.
 */
final class Store implements AutoCloseable {
    /**
     * Contents of a directory.
     *
     * @param image the facts found
     * @param sequence the number of the last commit in the image, or 0
     * @param complete whether a complete snapshot was found
     * @param messages one line for each file that was used or rejected
     */
    record Contents(Facts.Image image, long sequence, boolean complete, List<String> messages) {}

    private static final String SNAPSHOT = "snapshot-";
    private static final String JOURNAL = "journal-";
    private static final String PART = ".part";
    private static final int KIND_SNAPSHOT = 1;
    private static final int KIND_JOURNAL = 2;
    /** Facts in one batch of a snapshot; keeps the buffer small for any size of the fleet. */
    private static final int SNAPSHOT_BATCH_FACTS = 4096;
    /** With a shorter journal, a new generation costs more than it saves. */
    private static final int MIN_JOURNAL_BYTES = 1 << 16;

    private final Disk disk;
    private final long maxBytes;
    private final Codec codec = new Codec();
    private final Facts.Image image;
    private long generation;
    private long sequence;
    private Disk.Out journal;
    private long journalBytes;
    private long snapshotBytes;
    private long writtenBytes;

    private Store(Disk disk, long maxBytes, Facts.Image image, long generation, long sequence) {
        this.disk = disk;
        this.maxBytes = maxBytes;
        this.image = image;
        this.generation = generation;
        this.sequence = sequence;
    }

    /** Locks the directory, reads its contents and starts a new generation with them. */
    static Store open(Disk disk, long maxBytes, List<String> messages) throws IOException {
        disk.lock();
        Contents contents = read(disk);
        messages.addAll(contents.messages);
        long newestGeneration = 0;
        for (String name : disk.list()) {
            newestGeneration =
                    Math.max(newestGeneration, Math.max(generation(name, SNAPSHOT), generation(name, JOURNAL)));
        }
        Store store = new Store(disk, maxBytes, contents.image, newestGeneration, contents.sequence);
        store.compact();
        return store;
    }

    private static long generation(String name, String kind) {
        String digits = name.startsWith(kind) ? name.substring(kind.length()).replace(PART, "") : "";
        return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : 0;
    }

    /** Reads the directory without locking or writing; another process may be using it. */
    static Contents read(Disk disk) throws IOException {
        List<String> messages = new ArrayList<>();
        TreeMap<Long, String> snapshots = new TreeMap<>();
        List<String> names = disk.list();
        for (String name : names) {
            if (name.startsWith(SNAPSHOT) && !name.endsWith(PART) && generation(name, SNAPSHOT) > 0) {
                snapshots.put(generation(name, SNAPSHOT), name);
            }
        }
        for (String name : snapshots.descendingMap().values()) {
            Facts.Image image = new Facts.Image();
            try {
                long sequence = readSnapshot(disk.read(name), image);
                long generation = generation(name, SNAPSHOT);
                if (names.contains(JOURNAL + generation)) {
                    sequence = readJournal(disk.read(JOURNAL + generation), generation, image, sequence, messages);
                }
                messages.add(name + ": complete, " + image.size() + " facts up to commit " + sequence);
                return new Contents(image, sequence, true, messages);
            } catch (Codec.CorruptException corrupt) {
                messages.add(name + ": rejected, " + corrupt.getMessage());
            } catch (IOException unreadable) {
                messages.add(name + ": unreadable, " + unreadable.getMessage());
            }
        }
        messages.add(snapshots.isEmpty() ? "no snapshot found" : "no valid snapshot found");
        return new Contents(new Facts.Image(), 0, false, messages);
    }

    private static long readSnapshot(ByteBuffer in, Facts.Image image) throws Codec.CorruptException {
        Codec.Header header = Codec.readHeader(in);
        if (header.kind() != KIND_SNAPSHOT) {
            throw new Codec.CorruptException("not a snapshot file");
        }
        long[] statedSize = {-1};
        long sequence = 0;
        while (in.hasRemaining() && statedSize[0] < 0) {
            sequence = Codec.readBatch(in, header.version(), new Codec.BatchVisitor() {
                @Override
                public void fact(Facts.Fact fact) {
                    image.put(fact);
                }

                @Override
                public void removed(String key) {
                    image.remove(key);
                }

                @Override
                public void end(long facts) {
                    statedSize[0] = facts;
                }
            });
        }
        if (statedSize[0] != image.size()) {
            throw new Codec.CorruptException(
                    statedSize[0] < 0
                            ? "truncated before its last batch"
                            : "states " + statedSize[0] + " facts but holds " + image.size());
        }
        return sequence;
    }

    /** Applies the valid prefix of a journal; batches after a corrupt one are ignored, as a change may be missing. */
    private static long readJournal(
            ByteBuffer in, long generation, Facts.Image image, long snapshotSequence, List<String> messages) {
        long sequence = snapshotSequence;
        try {
            Codec.Header header = Codec.readHeader(in);
            if (header.kind() != KIND_JOURNAL || header.generation() != generation) {
                throw new Codec.CorruptException("journal of another snapshot");
            }
            while (in.hasRemaining()) {
                ByteBuffer lookahead = in.duplicate();
                lookahead.getInt();
                if (in.remaining() >= Codec.BATCH_HEADER
                        && lookahead.getInt() >= 0
                        && lookahead.getLong() != sequence + 1) {
                    throw new Codec.CorruptException("commit " + (sequence + 1) + " is missing");
                }
                sequence = Codec.readBatch(in, header.version(), new Codec.BatchVisitor() {
                    @Override
                    public void fact(Facts.Fact fact) {
                        image.put(fact);
                    }

                    @Override
                    public void removed(String key) {
                        image.remove(key);
                    }
                });
            }
        } catch (Codec.CorruptException | BufferUnderflowException corrupt) {
            messages.add(JOURNAL + generation + ": valid up to commit " + sequence + "; "
                    + (corrupt.getMessage() == null ? "truncated" : corrupt.getMessage()));
        }
        return sequence;
    }

    Facts.Image image() {
        return image;
    }

    long sequence() {
        return sequence;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    /** Commits the changes atomically: after a crash all of them are there, or none. Returns the commit's number. */
    long commit(List<Facts.Fact> facts, List<String> removed) throws IOException {
        if (journalBytes > Math.max(MIN_JOURNAL_BYTES, Math.min(maxBytes / 2, 2 * snapshotBytes))) {
            // The new snapshot holds all earlier commits, and this batch is the first after it. This must precede the
            // encoding of the batch, because both use the same buffer.
            compact();
        }
        codec.beginBatch();
        facts.forEach(codec::add);
        removed.forEach(codec::addRemoved);
        ByteBuffer batch = codec.endBatch(sequence + 1);
        if (snapshotBytes + journalBytes + batch.remaining() > maxBytes) {
            throw new IOException("memory would exceed its limit of " + maxBytes + " bytes");
        }
        int length = batch.remaining();
        journal.write(batch);
        journal.force();
        sequence++;
        journalBytes += length;
        writtenBytes += length;
        facts.forEach(image::put);
        removed.forEach(image::remove);
        return sequence;
    }

    /** Starts a new generation: writes a snapshot under a temporary name and its journal, then renames the snapshot. */
    void compact() throws IOException {
        if (journal != null) {
            journal.close();
            journal = null;
        }
        long next = generation + 1;
        String name = SNAPSHOT + next;
        long bytes = Codec.FILE_HEADER;
        try (Disk.Out out = disk.create(name + PART)) {
            out.write(Codec.header(Codec.VERSION, KIND_SNAPSHOT, next));
            List<Facts.Fact> all = image.all();
            for (int from = 0; from <= all.size(); from += SNAPSHOT_BATCH_FACTS) {
                codec.beginBatch();
                all.subList(from, Math.min(all.size(), from + SNAPSHOT_BATCH_FACTS))
                        .forEach(codec::add);
                if (from + SNAPSHOT_BATCH_FACTS > all.size()) {
                    codec.addEnd(all.size());
                }
                ByteBuffer batch = codec.endBatch(sequence);
                bytes += batch.remaining();
                if (bytes > maxBytes) {
                    throw new IOException("memory would exceed its limit of " + maxBytes + " bytes");
                }
                out.write(batch);
            }
            out.force();
        }
        Disk.Out newJournal = disk.create(JOURNAL + next);
        newJournal.write(Codec.header(Codec.VERSION, KIND_JOURNAL, next));
        newJournal.force();
        disk.rename(name + PART, name);
        disk.forceFolder();
        journal = newJournal;
        journalBytes = Codec.FILE_HEADER;
        snapshotBytes = bytes;
        writtenBytes += bytes;
        generation = next;
        // Only now is the former generation no longer needed.
        for (String old : disk.list()) {
            long oldGeneration = Math.max(generation(old, SNAPSHOT), generation(old, JOURNAL));
            if (oldGeneration > 0 && oldGeneration < next) {
                disk.delete(old);
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (journal != null) {
            journal.close();
            journal = null;
        }
        disk.close();
    }
}
