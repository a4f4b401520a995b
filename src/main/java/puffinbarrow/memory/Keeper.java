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
 * Writes facts to a folder on a thread of its own. {@link #offer} never waits for a disk: it puts facts into a map
 * by key, where a newer one replaces an older, up to a cap over which new keys are skipped and counted. An error of
 * the disk ends keeping until a try some seconds later succeeds; what was learned meanwhile waits in the map.
 */
public final class Keeper implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.memory");
    /** A restart loses no more than this; more often would cost the disk and gain nothing a round of sums does not. */
    private static final long EVERY_MS = 200;

    private static final long RETRY_MS = 2000;

    private final Path folder;
    private final long cap;
    private final int mostKeys;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition more = lock.newCondition();
    private LinkedHashMap<String, Facts.Fact> pending = new LinkedHashMap<>();
    private volatile long skipped, commits, bytes, failures;
    private volatile boolean well;
    private boolean closing;
    private Store store;
    private RealDisk disk;
    private Facts.Image remembered = new Facts.Image();
    private final Thread writer = new Thread(this::write, "memory");

    private Keeper(Path folder, long cap, int mostKeys) {
        this.folder = folder;
        this.cap = cap;
        this.mostKeys = mostKeys;
        writer.setDaemon(true);
    }

    /** Reads what the folder holds and keeps from now on; a folder that cannot be used gives a keeper without memory. */
    public static Keeper open(Path folder, long cap, int mostKeys) {
        Keeper keeper = new Keeper(folder, cap, mostKeys);
        keeper.tryOpen();
        if (keeper.store != null) {
            // A copy, as the store's own goes on.
            Facts.Image copy = new Facts.Image();
            keeper.store.image().all().forEach(copy::put);
            keeper.remembered = copy;
        }
        keeper.writer.start();
        return keeper;
    }

    /** What a former life left, as it was at the start. */
    public Facts.Image remembered() {
        return remembered;
    }

    public boolean well() {
        return well;
    }

    public long skipped() {
        return skipped;
    }

    public long commits() {
        return commits;
    }

    public long bytes() {
        return bytes;
    }

    public long failures() {
        return failures;
    }

    /** From the decision thread. */
    public void offer(List<Facts.Fact> facts) {
        lock.lock();
        try {
            for (Facts.Fact fact : facts) {
                if (pending.size() < mostKeys || pending.containsKey(fact.key())) {
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
        List<String> words = new ArrayList<>();
        RealDisk on = new RealDisk(folder);
        try {
            store = Store.open(on, cap, words);
            disk = on;
            words.forEach(LOG::info);
            well = true;
            LOG.atInfo()
                    .addKeyValue("folder", folder)
                    .addKeyValue("facts", store.image().size())
                    .log("memory is kept");
        } catch (IOException unusable) {
            failed("no memory: " + said(unusable));
            closeQuietly(on);
        }
    }

    private static String said(IOException failure) {
        return failure.getClass().getSimpleName() + " " + failure.getMessage();
    }

    /** Said once for each time that it was well; counted always. */
    private void failed(String what) {
        failures++;
        if (well || failures == 1) {
            LOG.warn("{}; the coordinator goes on without", what);
        }
        well = false;
    }

    private static void closeQuietly(AutoCloseable what) {
        try {
            what.close();
        } catch (Exception ignored) {
            // It is given up on already.
        }
    }

    private void write() {
        long retryAt = 0;
        while (true) {
            LinkedHashMap<String, Facts.Fact> batch;
            boolean last;
            lock.lock();
            try {
                if (!closing) {
                    more.awaitNanos(TimeUnit.MILLISECONDS.toNanos(EVERY_MS));
                }
                last = closing;
                batch = pending;
                pending = new LinkedHashMap<>();
            } catch (InterruptedException stop) {
                return;
            } finally {
                lock.unlock();
            }
            if (store == null && (System.nanoTime() >= retryAt || last)) {
                tryOpen();
                retryAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_MS);
            }
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            if (!batch.isEmpty() && !commit(batch)) {
                putBack(batch);
            }
            if (last) {
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
                // A folder that was removed takes writes into files that nobody will ever find.
                throw new IOException("the folder has vanished");
            }
            store.commit(List.copyOf(batch.values()), List.of());
            commits++;
            bytes = store.writtenBytes();
            return true;
        } catch (IOException broken) {
            failed("memory is not kept: " + said(broken));
            closeQuietly(store);
            store = null;
            return false;
        }
    }

    private void putBack(Map<String, Facts.Fact> batch) {
        lock.lock();
        try {
            batch.forEach(pending::putIfAbsent);
        } finally {
            lock.unlock();
        }
    }

    /** As a killed process: what waits is lost, the folder is let go. */
    public void kill() {
        writer.interrupt();
        try {
            writer.join(5000);
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        }
        if (store != null) {
            closeQuietly(store);
        }
    }

    /** Writes what waits and lets the folder go. */
    @Override
    public void close() {
        lock.lock();
        try {
            closing = true;
            more.signal();
        } finally {
            lock.unlock();
        }
        try {
            writer.join(5000);
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        }
    }
}
