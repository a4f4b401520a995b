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
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests {@link Store}, {@link Codec} and {@link FactWriter}: power cuts, corrupt files, limits, and a killed process.
 */
class StoreTest {
    private static final long MAX_BYTES = 1 << 20;

    private static List<Facts.Fact> factsOfCommit(long number) {
        List<Facts.Fact> facts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            facts.add(new Facts.SliceFact(i, number, List.of(new Facts.Line("s" + i, 1)), number, number));
        }
        return facts;
    }

    private static Facts.ServerFact server(String id, long at) {
        return new Facts.ServerFact(id, at, 7, List.of(1L, 2L), List.of(3L), List.of(4L), "held", 6, 1.5, 9, 0.4);
    }

    private static SimDisk diskAfter(int commits) throws IOException {
        SimDisk disk = new SimDisk();
        try (Store store = Store.open(disk, MAX_BYTES, new ArrayList<>())) {
            for (int i = 1; i <= commits; i++) {
                store.commit(factsOfCommit(i), List.of());
            }
        }
        return disk;
    }

    @Test
    void committedFactsAreReadWithAllFields() throws IOException {
        SimDisk disk = new SimDisk();
        Facts.CoordinatorFact self = new Facts.CoordinatorFact(5, 6, 7, true, List.of(1, 2), 0.5, 0.4, 0.75, true);
        try (Store store = Store.open(disk, MAX_BYTES, new ArrayList<>())) {
            store.commit(
                    List.of(server("a:1", 5), self, new Facts.SliceFact(3, 5, List.of(new Facts.Line("a:1", 1)), 2, 9)),
                    List.of());
            store.commit(List.of(server("b:1", 6)), List.of("slice 3"));
        }
        Store.Contents found = Store.read(disk);
        assertEquals(
                List.of(self, server("a:1", 5), server("b:1", 6)), found.image().all());
        assertEquals(2, found.sequence());
    }

    @Test
    void powerCutAtAnyStepLeavesConsistentStateNoOlderThanLastCommit() throws IOException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        // Counts the steps of an uninterrupted run.
        SimDisk uninterrupted = new SimDisk();
        openAndCommit(uninterrupted, new long[1]);
        long steps = uninterrupted.steps;
        int cuts = 0;
        // Every one of the first 3000 steps, then every 53rd; a prime, so that cuts fall at varying offsets of the
        // batches.
        for (long cut = 0; cut <= steps; cut += cut < 3000 ? 1 : 53) {
            SimDisk disk = new SimDisk();
            disk.stepsLeft = cut;
            long[] acknowledged = {0};
            assertThrows(SimDisk.PowerCut.class, () -> {
                openAndCommit(disk, acknowledged);
                throw new SimDisk.PowerCut();
            });
            SimDisk after = disk.afterPowerCut(random);
            Store.Contents found = Store.read(after);
            assertEquals(
                    null,
                    CrashRecoveryCheck.violation(found, acknowledged[0]),
                    "cut at " + cut + ": " + found.messages());
            // A second cut while the store is opened again.
            after.stepsLeft = random.nextInt(3000);
            try (Store again = Store.open(after, MAX_BYTES, new ArrayList<>())) {
                assertTrue(again.sequence() >= acknowledged[0]);
            } catch (SimDisk.PowerCut second) {
                Store.Contents later = Store.read(after.afterPowerCut(random));
                assertEquals(
                        null,
                        CrashRecoveryCheck.violation(later, acknowledged[0]),
                        "second cut after the one at " + cut);
            }
            cuts++;
        }
        assertTrue(
                cuts > 3000 && uninterrupted.list().stream().anyMatch(n -> n.equals("snapshot-4")),
                uninterrupted.list().toString());
    }

    private static void openAndCommit(SimDisk disk, long[] acknowledged) throws IOException {
        Store store = Store.open(disk, MAX_BYTES, new ArrayList<>());
        // Two explicit compactions, then enough commits to cause another one.
        for (int i = 1; i <= 45; i++) {
            acknowledged[0] = store.commit(factsOfCommit(i), List.of());
            if (i == 2 || i == 5) {
                store.compact();
            }
        }
    }

    @Test
    void bitFlipsNeitherThrowNorYieldFactsThatWereNotWritten() throws IOException {
        SimDisk disk = diskAfter(6);
        Set<Facts.Fact> allWritten = new HashSet<>();
        for (int i = 1; i <= 6; i++) {
            allWritten.addAll(factsOfCommit(i));
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(9);
        List<String> names = disk.list().stream().filter(n -> !n.equals("lock")).toList();
        int detected = 0;
        for (int i = 0; i < 10_000; i++) {
            String name = names.get(random.nextInt(names.size()));
            byte[] good = disk.bytes(name);
            byte[] bad = good.clone();
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
            }
            disk.put(name, bad);
            Store.Contents found = Store.read(disk);
            assertTrue(allWritten.containsAll(found.image().all()), "flip " + i);
            detected += found.sequence() < 6 ? 1 : 0;
            disk.put(name, good);
        }
        assertTrue(detected > 9_000, "detected flips: " + detected);
    }

    @Test
    void journalIsIgnoredAfterAMissingCommit() throws IOException {
        SimDisk disk = diskAfter(5);
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
        Store.Contents found = Store.read(disk);
        assertEquals(1, found.sequence());
        assertTrue(found.messages().toString().contains("valid up to commit 1; commit 2 is missing"));
    }

    @Test
    void olderVersionIsReadAndNewerOneRejected() throws Exception {
        for (int version = 0; version <= 3; version++) {
            SimDisk disk = new SimDisk();
            Codec codec = new Codec();
            codec.beginBatch();
            codec.add(new Facts.SliceFact(1, 5, List.of(), 1, 1));
            codec.addEnd(1);
            ByteBuffer batch = codec.endBatch(4);
            ByteBuffer file = ByteBuffer.allocate(Codec.FILE_HEADER + batch.remaining());
            file.put(Codec.header(version, 1, 1)).put(batch);
            disk.put("snapshot-1", file.array());
            Store.Contents found = Store.read(disk);
            assertEquals(version == 1 || version == 2, found.complete(), "version " + version);
            assertTrue(found.complete()
                    || found.messages().toString().contains("version " + version + ", supported are 1 to 2"));
        }
    }

    @Test
    void serverOfVersionOneHasDefaultSizeAndUnknownLoad() throws Exception {
        Codec codec = new Codec();
        codec.beginBatch();
        codec.add(server("a", 5));
        ByteBuffer now = codec.endBatch(1);
        byte[] old = new byte[now.remaining() - 16];
        now.get(old);
        ByteBuffer in = ByteBuffer.wrap(old);
        in.putInt(0, old.length - Codec.BATCH_HEADER);
        CRC32C crc = new CRC32C();
        crc.update(old, 0, 16);
        crc.update(old, Codec.BATCH_HEADER, old.length - Codec.BATCH_HEADER);
        in.putInt(16, (int) crc.getValue());
        List<Facts.Fact> read = new ArrayList<>();
        Codec.readBatch(in, 1, new Codec.BatchVisitor() {
            @Override
            public void fact(Facts.Fact fact) {
                read.add(fact);
            }

            @Override
            public void removed(String key) {}
        });
        Facts.ServerFact found = (Facts.ServerFact) read.get(0);
        assertEquals(1, found.size());
        assertTrue(Double.isNaN(found.load()));
        assertEquals(9, found.latencyNs());
    }

    @Test
    void commitAboveTheSizeLimitIsRefusedAndEarlierOnesStay() throws IOException {
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
    void folderCanBeOpenedByOneStoreAtATime(@TempDir Path folder) throws IOException {
        List<String> messages = new ArrayList<>();
        try (Store store = Store.open(new RealDisk(folder), MAX_BYTES, messages)) {
            store.commit(factsOfCommit(1), List.of());
            IOException second =
                    assertThrows(IOException.class, () -> Store.open(new RealDisk(folder), MAX_BYTES, messages));
            assertTrue(second.getMessage().contains("another coordinator"));
            assertEquals(1, FolderInspector.read(folder).commit());
        }
        try (Store store = Store.open(new RealDisk(folder), MAX_BYTES, messages)) {
            assertEquals(1, store.sequence());
        }
    }

    @Test
    void writingStopsWhenTheFolderIsRemovedAndResumesWhenItCanBeCreated(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("memory");
        FactWriter factWriter = FactWriter.open(folder, MAX_BYTES, 100);
        factWriter.offer(factsOfCommit(1));
        await(() -> factWriter.commits() == 1);
        for (String name : new RealDisk(folder).list()) {
            Files.delete(folder.resolve(name));
        }
        Files.delete(folder);
        Files.writeString(folder, "in the way");
        factWriter.offer(factsOfCommit(2));
        await(() -> !factWriter.healthy());
        factWriter.offer(factsOfCommit(3));
        Files.delete(folder);
        await(factWriter::healthy);
        await(() -> factWriter.commits() == 2);
        factWriter.close();
        assertEquals(40, FolderInspector.read(folder).image().size());
        assertTrue(FolderInspector.read(folder).image().all().stream().allMatch(f -> f.atNs() == 3));
    }

    @Test
    void newKeysAboveTheLimitAreDroppedAndCounted(@TempDir Path parent) throws Exception {
        Path blocked = Files.writeString(parent.resolve("file"), "no folder");
        FactWriter factWriter = FactWriter.open(blocked, MAX_BYTES, 40);
        factWriter.offer(factsOfCommit(1));
        factWriter.offer(factsOfCommit(2));
        factWriter.offer(List.of(server("one too many", 1)));
        assertTrue(factWriter.skipped() >= 1 && !factWriter.healthy() && factWriter.failures() >= 1);
        factWriter.kill();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + 20_000_000_000L; !condition.getAsBoolean(); Thread.sleep(5)) {
            assertTrue(System.nanoTime() < end, "condition not met within 20 s");
        }
    }

    @Test
    void killedProcessLeavesConsistentStateInEveryRound(@TempDir Path folder) throws Exception {
        List<String> child = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "puffinbarrow.cli.Main",
                "bench",
                "memory-writer",
                folder.toString());
        CrashRecoveryCheck.Outcome outcome = CrashRecoveryCheck.run(child, folder, 12, 3);
        assertEquals(List.of(), outcome.evidence());
        assertEquals(12, outcome.whole() + outcome.ignored());
        assertTrue(outcome.whole() > 10 && outcome.commits() > 12);
    }
}
