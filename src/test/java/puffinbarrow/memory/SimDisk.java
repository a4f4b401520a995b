package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A folder in memory that can lose its power at any byte of any write and at any force or rename. What was not forced
 * may be there, not there, or torn; names that were not forced may be old or new.
 */
final class SimDisk implements Disk {
    static final class PowerCut extends IOException {
        private static final long serialVersionUID = 1;
    }

    private static final class Content {
        byte[] forced = new byte[0];
        byte[] now = new byte[0];
    }

    private TreeMap<String, Content> names = new TreeMap<>();
    private TreeMap<String, Content> lastingNames = new TreeMap<>();
    /** Steps until the power goes: each byte written, each force, rename and delete is one. */
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
        Content content = names.get(name);
        if (content == null) {
            throw new IOException("no file " + name);
        }
        return ByteBuffer.wrap(content.now.clone());
    }

    @Override
    public Out create(String name) throws IOException {
        step(1);
        Content content = new Content();
        names.put(name, content);
        return new Out() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                int some = (int) Math.min(bytes.remaining(), Math.max(0, stepsLeft));
                int before = content.now.length;
                content.now = Arrays.copyOf(content.now, before + some);
                int whole = bytes.remaining();
                bytes.get(content.now, before, some);
                step(whole);
            }

            @Override
            public void force() throws IOException {
                step(1);
                content.forced = content.now.clone();
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
        lastingNames = new TreeMap<>(names);
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

    /** What is there after the power came back: unforced bytes dropped, torn or damaged, unforced names old or new. */
    SimDisk afterPowerCut(UniformRandomProvider chance) {
        SimDisk after = new SimDisk();
        TreeMap<String, Content> survive = new TreeMap<>();
        // Names change one by one: each may have reached the disk or not. A name that was forced stays unless its
        // removal or replacement has.
        java.util.TreeSet<String> all = new java.util.TreeSet<>(names.keySet());
        all.addAll(lastingNames.keySet());
        for (String name : all) {
            Content before = lastingNames.get(name);
            Content now = names.get(name);
            Content chosen = before == now || chance.nextBoolean() ? now : before;
            if (chosen != null) {
                survive.put(name, torn(chosen, chance));
            }
        }
        after.names = survive;
        after.lastingNames = new TreeMap<>(survive);
        return after;
    }

    private static Content torn(Content content, UniformRandomProvider chance) {
        Content left = new Content();
        int unforced = content.now.length - content.forced.length;
        int keep = unforced <= 0 ? 0 : chance.nextInt(unforced + 1);
        left.now = Arrays.copyOf(content.now, content.forced.length + keep);
        if (keep > 0 && chance.nextBoolean()) {
            // A sector that was not written while a later one was: zeros in the middle.
            int from = content.forced.length + chance.nextInt(keep);
            Arrays.fill(left.now, from, Math.min(left.now.length, from + 1 + chance.nextInt(64)), (byte) 0);
        }
        left.forced = left.now.clone();
        return left;
    }

    /** For damage by hand. */
    byte[] bytes(String name) {
        return names.get(name).now;
    }

    void put(String name, byte[] bytes) {
        Content content = new Content();
        content.now = bytes;
        content.forced = bytes.clone();
        names.put(name, content);
        lastingNames.put(name, content);
    }
}
