package puffinbarrow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StoreTest {
    private static final long CAP = 1 << 20;

    private static List<Facts.Fact> commit(long number) {
        List<Facts.Fact> facts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            facts.add(new Facts.OfSlice(i, number, List.of(new Facts.Line("s" + i, 1)), number, number));
        }
        return facts;
    }

    private static Facts.OfServer server(String id, long at) {
        return new Facts.OfServer(id, at, 7, List.of(1L, 2L), List.of(3L), List.of(4L), "held", 6, 1.5, 9, 0.4);
    }

    private static SimDisk written(int commits) throws IOException {
        SimDisk disk = new SimDisk();
        try (Store store = Store.open(disk, CAP, new ArrayList<>())) {
            for (int i = 1; i <= commits; i++) {
                store.commit(commit(i), List.of());
            }
        }
        return disk;
    }

    @Test
    void whatWasCommittedIsReadAgainWithEveryField() throws IOException {
        SimDisk disk = new SimDisk();
        Facts.OfSelf self = new Facts.OfSelf(5, 6, 7, true, List.of(1, 2), 0.5, 0.4, 0.75, true);
        try (Store store = Store.open(disk, CAP, new ArrayList<>())) {
            store.commit(
                    List.of(server("a:1", 5), self, new Facts.OfSlice(3, 5, List.of(new Facts.Line("a:1", 1)), 2, 9)),
                    List.of());
            store.commit(List.of(server("b:1", 6)), List.of("slice 3"));
        }
        Store.Opened found = Store.read(disk);
        assertEquals(
                List.of(self, server("a:1", 5), server("b:1", 6)), found.image().all());
        assertEquals(2, found.sequence());
    }

    @Test
    void powerCutAnywhereLeavesAWholeStateNoOlderThanTheLastAcknowledged() throws IOException {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        // How many steps a life takes that opens, commits and compacts.
        SimDisk whole = new SimDisk();
        life(whole, new long[1]);
        long steps = whole.steps;
        int cuts = 0;
        // Every force, rename and delete, and bytes all over: a prime stride over the steps, then the whole tail.
        for (long cut = 0; cut <= steps; cut += cut < 3000 ? 1 : 53) {
            SimDisk disk = new SimDisk();
            disk.stepsLeft = cut;
            long[] acknowledged = {0};
            assertThrows(SimDisk.PowerCut.class, () -> {
                life(disk, acknowledged);
                throw new SimDisk.PowerCut();
            });
            SimDisk after = disk.afterPowerCut(chance);
            Store.Opened found = Store.read(after);
            assertEquals(null, Kills.fault(found, acknowledged[0]), "cut at " + cut + ": " + found.words());
            // And a second cut while the next life begins.
            after.stepsLeft = chance.nextInt(3000);
            try (Store again = Store.open(after, CAP, new ArrayList<>())) {
                assertTrue(again.sequence() >= acknowledged[0]);
            } catch (SimDisk.PowerCut second) {
                Store.Opened later = Store.read(after.afterPowerCut(chance));
                assertEquals(null, Kills.fault(later, acknowledged[0]), "second cut after " + cut);
            }
            cuts++;
        }
        assertTrue(
                cuts > 3000 && whole.list().stream().anyMatch(n -> n.equals("snapshot-4")),
                whole.list().toString());
    }

    private static void life(SimDisk disk, long[] acknowledged) throws IOException {
        Store store = Store.open(disk, CAP, new ArrayList<>());
        // Some generations by hand, then so many commits that the next comes by itself.
        for (int i = 1; i <= 45; i++) {
            acknowledged[0] = store.commit(commit(i), List.of());
            if (i == 2 || i == 5) {
                store.compact();
            }
        }
    }

    @Test
    void tenThousandBitFlipsNeverThrowAndNeverGiveAFactThatWasNotWritten() throws IOException {
        SimDisk disk = written(6);
        Set<Facts.Fact> ever = new HashSet<>();
        for (int i = 1; i <= 6; i++) {
            ever.addAll(commit(i));
        }
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(9);
        List<String> names = disk.list().stream().filter(n -> !n.equals("lock")).toList();
        int changed = 0;
        for (int i = 0; i < 10_000; i++) {
            String name = names.get(chance.nextInt(names.size()));
            byte[] good = disk.bytes(name);
            byte[] bad = good.clone();
            for (int flips = 1 + chance.nextInt(3); flips > 0; flips--) {
                bad[chance.nextInt(bad.length)] ^= (byte) (1 << chance.nextInt(8));
            }
            disk.put(name, bad);
            Store.Opened found = Store.read(disk);
            assertTrue(ever.containsAll(found.image().all()), "flip " + i);
            changed += found.sequence() < 6 ? 1 : 0;
            disk.put(name, good);
        }
        assertTrue(changed > 9_000, "flips that were noticed: " + changed);
    }

    @Test
    void behindAHoleInTheJournalNothingIsBelieved() throws IOException {
        SimDisk disk = written(5);
        String journal = disk.list().stream()
                .filter(n -> n.startsWith("journal"))
                .findFirst()
                .orElseThrow();
        byte[] good = disk.bytes(journal);
        ByteBuffer in = ByteBuffer.wrap(good).position(Codec.FILE_HEADER);
        int first = Codec.BATCH_HEADER + in.getInt(Codec.FILE_HEADER);
        int second = Codec.BATCH_HEADER + in.getInt(Codec.FILE_HEADER + first);
        byte[] hole = new byte[good.length - second];
        System.arraycopy(good, 0, hole, 0, Codec.FILE_HEADER + first);
        System.arraycopy(
                good,
                Codec.FILE_HEADER + first + second,
                hole,
                Codec.FILE_HEADER + first,
                hole.length - Codec.FILE_HEADER - first);
        disk.put(journal, hole);
        Store.Opened found = Store.read(disk);
        assertEquals(1, found.sequence());
        assertTrue(found.words().toString().contains("believed up to commit 1, then commit 2 is missing"));
    }

    @Test
    void anOlderVersionIsReadAndANewerOneIsNot() throws Exception {
        for (int version = 0; version <= 3; version++) {
            SimDisk disk = new SimDisk();
            Codec codec = new Codec();
            codec.begin();
            codec.add(new Facts.OfSlice(1, 5, List.of(), 1, 1));
            codec.addEnd(1);
            ByteBuffer batch = codec.end(4);
            ByteBuffer file = ByteBuffer.allocate(Codec.FILE_HEADER + batch.remaining());
            file.put(Codec.header(version, 1, 1)).put(batch);
            disk.put("snapshot-1", file.array());
            Store.Opened found = Store.read(disk);
            assertEquals(version == 1 || version == 2, found.whole(), "version " + version);
            assertTrue(found.whole() || found.words().toString().contains("version " + version + ", read are 1 to 2"));
        }
    }

    @Test
    void aVersionOneServerHasNoSizeAndLoad() throws Exception {
        Codec codec = new Codec();
        codec.begin();
        codec.add(server("a", 5));
        ByteBuffer now = codec.end(1);
        byte[] old = new byte[now.remaining() - 16];
        now.get(old);
        ByteBuffer in = ByteBuffer.wrap(old);
        in.putInt(0, old.length - Codec.BATCH_HEADER);
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(old, 0, 16);
        crc.update(old, Codec.BATCH_HEADER, old.length - Codec.BATCH_HEADER);
        in.putInt(16, (int) crc.getValue());
        List<Facts.Fact> read = new ArrayList<>();
        Codec.batch(in, 1, new Codec.Into() {
            @Override
            public void fact(Facts.Fact fact) {
                read.add(fact);
            }

            @Override
            public void gone(String key) {}
        });
        Facts.OfServer found = (Facts.OfServer) read.get(0);
        assertEquals(1, found.size());
        assertTrue(Double.isNaN(found.load()));
        assertEquals(9, found.tookNs());
    }

    @Test
    void overItsCapItRefusesAndWhatIsThereStays() throws IOException {
        SimDisk disk = new SimDisk();
        Store store = Store.open(disk, 4096, new ArrayList<>());
        long last = store.commit(List.of(server("a", 1)), List.of());
        List<Facts.Fact> many = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            many.add(server("s" + i, 2));
        }
        assertThrows(IOException.class, () -> store.commit(many, List.of()));
        assertEquals(last, Store.read(disk).sequence());
    }

    @Test
    void twoOwnersOfOneFolderAreOneTooMany(@TempDir Path folder) throws IOException {
        List<String> words = new ArrayList<>();
        try (Store store = Store.open(new RealDisk(folder), CAP, words)) {
            store.commit(commit(1), List.of());
            IOException second = assertThrows(IOException.class, () -> Store.open(new RealDisk(folder), CAP, words));
            assertTrue(second.getMessage().contains("another coordinator"));
            assertEquals(1, Inspect.look(folder).commit());
        }
        try (Store store = Store.open(new RealDisk(folder), CAP, words)) {
            assertEquals(1, store.sequence());
        }
    }

    @Test
    void aVanishedFolderEndsKeepingAndItsReturnBeginsItAgain(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("memory");
        Keeper keeper = Keeper.open(folder, CAP, 100);
        keeper.offer(commit(1));
        until(() -> keeper.commits() == 1);
        for (String name : new RealDisk(folder).list()) {
            Files.delete(folder.resolve(name));
        }
        Files.delete(folder);
        Files.writeString(folder, "in the way");
        keeper.offer(commit(2));
        until(() -> !keeper.well());
        keeper.offer(commit(3));
        Files.delete(folder);
        until(keeper::well);
        until(() -> keeper.commits() == 2);
        keeper.close();
        assertEquals(40, Inspect.look(folder).image().size());
        assertTrue(Inspect.look(folder).image().all().stream().allMatch(f -> f.atNs() == 3));
    }

    @Test
    void newKeysOverTheCapAreSkippedAndCountedWhileKnownOnesAreReplaced(@TempDir Path parent) throws Exception {
        Path blocked = Files.writeString(parent.resolve("file"), "no folder");
        Keeper keeper = Keeper.open(blocked, CAP, 40);
        keeper.offer(commit(1));
        keeper.offer(commit(2));
        keeper.offer(List.of(server("one too many", 1)));
        assertTrue(keeper.skipped() >= 1 && !keeper.well() && keeper.failures() >= 1);
        keeper.kill();
    }

    private static void until(java.util.function.BooleanSupplier done) throws InterruptedException {
        for (long end = System.nanoTime() + 20_000_000_000L; !done.getAsBoolean(); Thread.sleep(5)) {
            assertTrue(System.nanoTime() < end, "waited in vain");
        }
    }

    @Test
    void aProcessKilledWhileItWritesIsFoundWholeAtEveryStart(@TempDir Path folder) throws Exception {
        List<String> child = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "puffinbarrow.cli.Main",
                "bench",
                "memory-writer",
                folder.toString());
        Kills.Outcome outcome = Kills.run(child, folder, 12, 3);
        assertEquals(List.of(), outcome.evidence());
        assertEquals(12, outcome.whole() + outcome.ignored());
        assertTrue(outcome.whole() > 10 && outcome.commits() > 12);
    }
}
