package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulated directory whose power can fail at any byte of a write and at any force, rename or delete. After that,
 * unforced bytes may be present, missing or torn, and unforced names may be old or new.
 */
final class SimDisk implements Disk {
    static final class PowerCut extends IOException {
        private static final long serialVersionUID = 1;
    }

    private static final class FileContent {
        byte[] forced = new byte[0];
        byte[] current = new byte[0];
    }

    private TreeMap<String, FileContent> names = new TreeMap<>();
    private TreeMap<String, FileContent> durableNames = new TreeMap<>();
    /** Steps until the power fails. Each byte written and each create, force, rename and delete is a step. */
    long stepsLeft = Long.MAX_VALUE;

    long steps;
    private boolean locked;

    private void step(long count) throws PowerCut {
        steps += count;
        stepsLeft -= count;
        if (stepsLeft < 0) {
            throw new PowerCut();
        }
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(names.keySet());
    }

    @Override
    public ByteBuffer read(String name) throws IOException {
        FileContent content = names.get(name);
        if (content == null) {
            throw new IOException("no file " + name);
        }
        return ByteBuffer.wrap(content.current.clone());
    }

    @Override
    public Out create(String name) throws IOException {
        step(1);
        FileContent content = new FileContent();
        names.put(name, content);
        return new Out() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                int writable = (int) Math.min(bytes.remaining(), Math.max(0, stepsLeft));
                int before = content.current.length;
                content.current = Arrays.copyOf(content.current, before + writable);
                int requested = bytes.remaining();
                bytes.get(content.current, before, writable);
                step(requested);
            }

            @Override
            public void force() throws IOException {
                step(1);
                content.forced = content.current.clone();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step(1);
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        step(1);
        names.remove(name);
    }

    @Override
    public void forceFolder() throws IOException {
        step(1);
        durableNames = new TreeMap<>(names);
    }

    @Override
    public void lock() throws IOException {
        if (locked) {
            throw new IOException("locked");
        }
        locked = true;
    }

    @Override
    public void close() {
        locked = false;
    }

    /**
     * Returns the directory after power is restored: unforced bytes lost, torn or zeroed, unforced names old or new.
     */
    SimDisk afterPowerCut(UniformRandomProvider random) {
        SimDisk after = new SimDisk();
        TreeMap<String, FileContent> surviving = new TreeMap<>();
        // Name changes are independent: each may have reached the disk or not. A forced name stays unless its
        // removal or replacement reached the disk.
        TreeSet<String> all = new TreeSet<>(names.keySet());
        all.addAll(durableNames.keySet());
        for (String name : all) {
            FileContent before = durableNames.get(name);
            FileContent current = names.get(name);
            FileContent chosen = before == current || random.nextBoolean() ? current : before;
            if (chosen != null) {
                surviving.put(name, torn(chosen, random));
            }
        }
        after.names = surviving;
        after.durableNames = new TreeMap<>(surviving);
        return after;
    }

    private static FileContent torn(FileContent content, UniformRandomProvider random) {
        FileContent survivor = new FileContent();
        int unforced = content.current.length - content.forced.length;
        int keep = unforced <= 0 ? 0 : random.nextInt(unforced + 1);
        survivor.current = Arrays.copyOf(content.current, content.forced.length + keep);
        if (keep > 0 && random.nextBoolean()) {
            // A sector was not written although a later one was: zeros in the middle.
            int from = content.forced.length + random.nextInt(keep);
            Arrays.fill(
                    survivor.current, from, Math.min(survivor.current.length, from + 1 + random.nextInt(64)), (byte) 0);
        }
        survivor.forced = survivor.current.clone();
        return survivor;
    }

    /** The current bytes of a file, for tests that corrupt them. */
    byte[] bytes(String name) {
        return names.get(name).current;
    }

    void put(String name, byte[] bytes) {
        FileContent content = new FileContent();
        content.current = bytes;
        content.forced = bytes.clone();
        names.put(name, content);
        durableNames.put(name, content);
    }
}
