package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A snapshot and a journal behind it, by generation. A batch is committed by one write and a force; a new generation
 * by the rename of its snapshot, which is whole and forced before. At every moment the newest whole snapshot and the
 * sound beginning of its journal are a whole state no older than the last commit acknowledged. Used by one thread.
 */
final class Store implements AutoCloseable {
    /** What a start found; {@code words} says in one line each what was believed and what was not. */
    record Opened(Facts.Image image, long sequence, boolean whole, List<String> words) {}

    private static final String SNAPSHOT = "snapshot-", JOURNAL = "journal-", PART = ".part";
    private static final int KIND_SNAPSHOT = 1, KIND_JOURNAL = 2;
    /** Facts in one batch of a snapshot, so that its buffer stays small whatever the fleet's size. */
    private static final int SNAPSHOT_BATCH = 4096;
    /** Under this a new generation costs more than the journal it saves. */
    private static final int LEAST_JOURNAL = 1 << 16;

    private final Disk disk;
    private final long cap;
    private final Codec codec = new Codec();
    private final Facts.Image image;
    private long generation;
    private long sequence;
    private Disk.Out journal;
    private long journalBytes;
    private long snapshotBytes;
    private long written;

    private Store(Disk disk, long cap, Facts.Image image, long generation, long sequence) {
        this.disk = disk;
        this.cap = cap;
        this.image = image;
        this.generation = generation;
        this.sequence = sequence;
    }

    /** Takes the folder, reads what is there and begins a new generation with it. */
    static Store open(Disk disk, long cap, List<String> words) throws IOException {
        disk.lock();
        Opened found = read(disk);
        words.addAll(found.words);
        long newest = 0;
        for (String name : disk.list()) {
            newest = Math.max(newest, Math.max(generation(name, SNAPSHOT), generation(name, JOURNAL)));
        }
        Store store = new Store(disk, cap, found.image, newest, found.sequence);
        store.compact();
        return store;
    }

    private static long generation(String name, String kind) {
        String digits = name.startsWith(kind) ? name.substring(kind.length()).replace(PART, "") : "";
        return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : 0;
    }

    /** Reads without owning or writing: what a live or dead folder holds. */
    static Opened read(Disk disk) throws IOException {
        List<String> words = new ArrayList<>();
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
                long sequence = snapshot(disk.read(name), image);
                long generation = generation(name, SNAPSHOT);
                if (names.contains(JOURNAL + generation)) {
                    sequence = journal(disk.read(JOURNAL + generation), generation, image, sequence, words);
                }
                words.add(name + ": whole, " + image.size() + " facts up to commit " + sequence);
                return new Opened(image, sequence, true, words);
            } catch (Codec.Damaged damaged) {
                words.add(name + ": not believed, " + damaged.getMessage());
            } catch (IOException unreadable) {
                words.add(name + ": unreadable, " + unreadable.getMessage());
            }
        }
        words.add(snapshots.isEmpty() ? "no memory here" : "nothing is believed");
        return new Opened(new Facts.Image(), 0, false, words);
    }

    private static long snapshot(ByteBuffer in, Facts.Image image) throws Codec.Damaged {
        Codec.Header header = Codec.header(in);
        if (header.kind() != KIND_SNAPSHOT) {
            throw new Codec.Damaged("no snapshot");
        }
        long[] end = {-1};
        long sequence = 0;
        while (in.hasRemaining() && end[0] < 0) {
            sequence = Codec.batch(in, header.version(), new Codec.Into() {
                @Override
                public void fact(Facts.Fact fact) {
                    image.put(fact);
                }

                @Override
                public void gone(String key) {
                    image.remove(key);
                }

                @Override
                public void end(long facts) {
                    end[0] = facts;
                }
            });
        }
        if (end[0] != image.size()) {
            throw new Codec.Damaged(
                    end[0] < 0
                            ? "it ends before its last batch"
                            : "it says " + end[0] + " facts and holds " + image.size());
        }
        return sequence;
    }

    /** Takes what is sound from the beginning; behind a damaged batch nothing is believed, as an order may be missing. */
    private static long journal(ByteBuffer in, long generation, Facts.Image image, long from, List<String> words) {
        long sequence = from;
        try {
            Codec.Header header = Codec.header(in);
            if (header.kind() != KIND_JOURNAL || header.generation() != generation) {
                throw new Codec.Damaged("the journal of another snapshot");
            }
            while (in.hasRemaining()) {
                ByteBuffer ahead = in.duplicate();
                ahead.getInt();
                if (in.remaining() >= Codec.BATCH_HEADER && ahead.getInt() >= 0 && ahead.getLong() != sequence + 1) {
                    throw new Codec.Damaged("commit " + (sequence + 1) + " is missing");
                }
                sequence = Codec.batch(in, header.version(), new Codec.Into() {
                    @Override
                    public void fact(Facts.Fact fact) {
                        image.put(fact);
                    }

                    @Override
                    public void gone(String key) {
                        image.remove(key);
                    }
                });
            }
        } catch (Codec.Damaged | java.nio.BufferUnderflowException damaged) {
            words.add(JOURNAL + generation + ": believed up to commit " + sequence + ", then "
                    + (damaged.getMessage() == null ? "it is cut" : damaged.getMessage()));
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
        return written;
    }

    /** Commits the facts as one: they are all there after a crash, or none of them. */
    long commit(List<Facts.Fact> facts, List<String> gone) throws IOException {
        if (journalBytes > Math.max(LEAST_JOURNAL, Math.min(cap / 2, 2 * snapshotBytes))) {
            // A new snapshot holds what is committed so far; this batch is the first behind it. Before the batch is
            // laid out: both are written from the one buffer.
            compact();
        }
        codec.begin();
        facts.forEach(codec::add);
        gone.forEach(codec::addGone);
        ByteBuffer batch = codec.end(sequence + 1);
        if (snapshotBytes + journalBytes + batch.remaining() > cap) {
            throw new IOException("memory would take over " + cap + " bytes");
        }
        int length = batch.remaining();
        journal.write(batch);
        journal.force();
        sequence++;
        journalBytes += length;
        written += length;
        facts.forEach(image::put);
        gone.forEach(image::remove);
        return sequence;
    }

    /** Writes a new generation: a whole snapshot under another name, its journal, then the one rename that counts. */
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
            for (int from = 0; from <= all.size(); from += SNAPSHOT_BATCH) {
                codec.begin();
                all.subList(from, Math.min(all.size(), from + SNAPSHOT_BATCH)).forEach(codec::add);
                if (from + SNAPSHOT_BATCH > all.size()) {
                    codec.addEnd(all.size());
                }
                ByteBuffer batch = codec.end(sequence);
                bytes += batch.remaining();
                if (bytes > cap) {
                    throw new IOException("memory would take over " + cap + " bytes");
                }
                out.write(batch);
            }
            out.force();
        }
        Disk.Out fresh = disk.create(JOURNAL + next);
        fresh.write(Codec.header(Codec.VERSION, KIND_JOURNAL, next));
        fresh.force();
        disk.rename(name + PART, name);
        disk.forceFolder();
        journal = fresh;
        journalBytes = Codec.FILE_HEADER;
        snapshotBytes = bytes;
        written += bytes;
        generation = next;
        // Only now is the former generation not needed any more.
        for (String old : disk.list()) {
            long of = Math.max(generation(old, SNAPSHOT), generation(old, JOURNAL));
            if (of > 0 && of < next) {
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
