package puffinbarrow.memory;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes facts to a directory on its own thread. The coordinator's decision thread calls {@link #offer}, which never
 * waits for the disk: it puts the facts into a map by key, where a newer one replaces an older one. Above a limit on
 * the number of keys, facts with new keys are dropped and counted. After a disk error nothing is written until the
 * directory can be opened again, which is tried every {@link #REOPEN_INTERVAL_MS}; facts offered meanwhile wait in the
 * map.
 */
public final class FactWriter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.memory");
    /**
     * The most that a restart loses. Reports arrive less often, so that committing more often would only cost disk
     * time.
     */
    private static final long COMMIT_INTERVAL_MS = 200;

    /** The wait between attempts to open the directory again. */
    private static final long REOPEN_INTERVAL_MS = 2000;

    /** The longest wait for the writer thread to end. */
    private static final long JOIN_TIMEOUT_MS = 5000;

    private final Path folder;
    private final long maxBytes;
    private final int maxPendingKeys;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition closeRequested = lock.newCondition();
    /** Facts not yet committed, by key; guarded by {@link #lock}. */
    private LinkedHashMap<String, Facts.Fact> pending = new LinkedHashMap<>();

    private volatile long skipped;
    private volatile long commits;
    private volatile long bytes;
    private volatile long failures;
    private volatile boolean healthy;
    private boolean closing;
    /** The open store, or null while the directory cannot be used; only the writer thread changes it once started. */
    private Store store;

    private RealDisk disk;
    private Facts.Image remembered = new Facts.Image();
    private final Thread writer = new Thread(this::runWriter, "memory");

    private FactWriter(Path folder, long maxBytes, int maxPendingKeys) {
        this.folder = folder;
        this.maxBytes = maxBytes;
        this.maxPendingKeys = maxPendingKeys;
        writer.setDaemon(true);
    }

    /**
     * Reads the directory and starts the writer thread. If the directory cannot be used, nothing is stored and the
     * writer tries to open it again.
     *
     * @param maxBytes the most bytes that the directory may take
     * @param maxPendingKeys the most facts that may wait for the disk
     */
    public static FactWriter open(Path folder, long maxBytes, int maxPendingKeys) {
        FactWriter factWriter = new FactWriter(folder, maxBytes, maxPendingKeys);
        factWriter.tryOpen();
        if (factWriter.store != null) {
            // A copy, because the store changes its own image.
            Facts.Image copy = new Facts.Image();
            factWriter.store.image().all().forEach(copy::put);
            factWriter.remembered = copy;
        }
        factWriter.writer.start();
        return factWriter;
    }

    /** Returns the facts read at start, from the previous run of the coordinator. */
    public Facts.Image remembered() {
        return remembered;
    }

    /** Whether the directory is open and the last commit succeeded. */
    public boolean healthy() {
        return healthy;
    }

    /** The number of facts dropped because too many keys were waiting. */
    public long skipped() {
        return skipped;
    }

    /** The number of commits since the start. */
    public long commits() {
        return commits;
    }

    /** The number of bytes written since the directory was last opened. */
    public long bytes() {
        return bytes;
    }

    /** The number of failed commits and failed attempts to open the directory. */
    public long failures() {
        return failures;
    }

    /** Queues the facts for the next commit; called on the decision thread. */
    public void offer(List<Facts.Fact> facts) {
        lock.lock();
        try {
            for (Facts.Fact fact : facts) {
                if (pending.size() < maxPendingKeys || pending.containsKey(fact.key())) {
                    pending.put(fact.key(), fact);
                } else {
                    skipped++;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private void tryOpen() {
        List<String> messages = new ArrayList<>();
        RealDisk candidate = new RealDisk(folder);
        try {
            store = Store.open(candidate, maxBytes, messages);
            disk = candidate;
            messages.forEach(LOG::info);
            healthy = true;
            LOG.atInfo()
                    .addKeyValue("folder", folder)
                    .addKeyValue("facts", store.image().size())
                    .log("memory folder opened");
        } catch (IOException failure) {
            recordFailure("cannot open memory folder: " + describe(failure));
            closeQuietly(candidate);
        }
    }

    private static String describe(IOException failure) {
        return failure.getClass().getSimpleName() + " " + failure.getMessage();
    }

    /** Counts the failure, and logs the first one after each success. */
    private void recordFailure(String message) {
        failures++;
        if (healthy || failures == 1) {
            LOG.warn("{}; the coordinator continues without memory", message);
        }
        healthy = false;
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception ignored) {
            // The resource is being abandoned.
        }
    }

    private void runWriter() {
        long reopenAtNs = 0;
        while (true) {
            LinkedHashMap<String, Facts.Fact> batch;
            boolean lastRound;
            lock.lock();
            try {
                if (!closing) {
                    closeRequested.awaitNanos(TimeUnit.MILLISECONDS.toNanos(COMMIT_INTERVAL_MS));
                }
                lastRound = closing;
                batch = pending;
                pending = new LinkedHashMap<>();
            } catch (InterruptedException interrupted) {
                return;
            } finally {
                lock.unlock();
            }
            if (store == null && (System.nanoTime() >= reopenAtNs || lastRound)) {
                tryOpen();
                reopenAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REOPEN_INTERVAL_MS);
            }
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            if (!batch.isEmpty() && !commit(batch)) {
                restorePending(batch);
            }
            if (lastRound) {
                if (store != null) {
                    closeQuietly(store);
                }
                return;
            }
        }
    }

    private boolean commit(Map<String, Facts.Fact> batch) {
        if (store == null) {
            return false;
        }
        try {
            if (!disk.list().contains("lock")) {
                // After the directory is removed, writes to the open journal succeed but the file cannot be found
                // again.
                throw new IOException("memory folder was removed");
            }
            store.commit(List.copyOf(batch.values()), List.of());
            commits++;
            bytes = store.writtenBytes();
            return true;
        } catch (IOException failure) {
            recordFailure("cannot write memory: " + describe(failure));
            closeQuietly(store);
            store = null;
            return false;
        }
    }

    private void restorePending(Map<String, Facts.Fact> batch) {
        lock.lock();
        try {
            batch.forEach(pending::putIfAbsent);
        } finally {
            lock.unlock();
        }
    }

    /** Stops like a killed process: queued facts are lost, the lock is released. */
    public void kill() {
        writer.interrupt();
        try {
            writer.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (store != null) {
            closeQuietly(store);
        }
    }

    /** Writes the queued facts and releases the lock; waits up to {@link #JOIN_TIMEOUT_MS} for the writer. */
    @Override
    public void close() {
        lock.lock();
        try {
            closing = true;
            closeRequested.signal();
        } finally {
            lock.unlock();
        }
        try {
            writer.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
