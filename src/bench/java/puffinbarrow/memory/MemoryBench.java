package puffinbarrow.memory;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Measures the cost of memory: the hand-off on the decision thread, a commit, and a start. Commit and start are
 * compared with SQLite, the start also with CBOR.
 */
public final class MemoryBench {
    private static final long SECOND = 1_000_000_000L;

    private MemoryBench() {}

    static Facts.ServerFact server(int i, long at) {
        return new Facts.ServerFact(
                "10.0." + i / 250 + "." + i % 250 + ":8080",
                at,
                0,
                List.of(1L, at),
                List.of(at),
                List.of(at),
                "well",
                0,
                1,
                1e8,
                0.5);
    }

    static Facts.SliceFact slice(int i, long at) {
        return new Facts.SliceFact(
                i,
                at,
                List.of(
                        new Facts.Line("10.0.0." + i % 250 + ":8080", 1),
                        new Facts.Line("10.0.1." + i % 250 + ":8080", 0.03)),
                12,
                at);
    }

    static List<Facts.Fact> state(int servers, int slices, long at) {
        List<Facts.Fact> facts = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            facts.add(server(i, at));
        }
        for (int i = 0; i < slices; i++) {
            facts.add(slice(i, at));
        }
        return facts;
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("memory-bench");
        try {
            benchHandOff(folder.resolve("hand"));
            benchCommits(folder);
            benchStart(folder);
        } finally {
            try (Stream<Path> all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    /** Measures rounds of reports at 80 servers and 300 slices, a tenth of the slices moved in each. */
    private static void benchHandOff(Path folder) {
        FactWriter factWriter = FactWriter.open(folder, 64 << 20, 200_000);
        FactCollector factCollector = new FactCollector(1);
        List<Event.Entry> entries = new ArrayList<>();
        List<Event> round = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            String id = "10.0.0." + i + ":8080";
            entries.add(new Event.Entry(id, 0, 0, 0, Event.Listed.READY, 1, 5));
            round.add(new Event.ServerSums(id, 0, SECOND, 1, 0, 9, Map.of(Event.Measure.BUSY, 0.5)));
        }
        factCollector.recordEvents(1, List.of(new Event.ServerList(Event.ListKind.WHOLE, entries)));
        for (int i = 0; i < 300; i++) {
            round.add(new Event.SliceDemand(i, 0, 9, 0, SECOND));
        }
        long spentNs = 0;
        int measured = 0;
        for (int n = 0; n < 400; n++) {
            List<Order> orders = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                orders.add(new Order.SetLine((n * 30 + i) % 300, "10.0.0." + (n + i) % 80 + ":8080", 1));
            }
            long before = System.nanoTime();
            factCollector.recordEvents(n, round);
            factCollector.recordOrders(orders);
            factWriter.offer(factCollector.takeChangedFacts(n, n, false, List.of()));
            if (n >= 200) {
                spentNs += System.nanoTime() - before;
                measured++;
            }
            pause(10);
        }
        System.out.printf(
                Locale.ROOT,
                "hand-off of a round at 80 servers and 300 slices, 30 of them moved: %.0f us on the "
                        + "decision thread, %d of 400 rounds committed together%n",
                spentNs / 1e3 / measured,
                400 - factWriter.commits());
        // Bytes written at one round a second, when each round is a commit of its own.
        long bytes = factWriter.bytes();
        for (int n = 0; n < 10; n++) {
            factCollector.recordEvents(n, round);
            factCollector.recordOrders(List.of(new Order.SetLine(n, "10.0.0." + n + ":8080", 0.5)));
            factWriter.offer(factCollector.takeChangedFacts(n, n, false, List.of()));
            pause(1000);
        }
        System.out.printf(
                Locale.ROOT, "at a round a second: %.0f bytes a second%n", (factWriter.bytes() - bytes) / 10.0);
        factWriter.close();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /**
     * Measures the same commits of 80 servers and 30 slices, each forced, with the journal and with SQLite (WAL, full
     * sync).
     */
    private static void benchCommits(Path folder) throws Exception {
        int count = 300;
        for (int turn = 0; turn < 2; turn++) {
            long startNs = System.nanoTime();
            try (Store store = Store.open(new RealDisk(folder.resolve("ours" + turn)), 64 << 20, new ArrayList<>())) {
                for (int i = 0; i < count; i++) {
                    store.commit(state(80, 30, i), List.of());
                }
            }
            double journalMs = (System.nanoTime() - startNs) / 1e6 / count;
            startNs = System.nanoTime();
            try (Connection db = database(folder.resolve("commits" + turn + ".db"))) {
                for (int i = 0; i < count; i++) {
                    insert(db, state(80, 30, i));
                }
            }
            double sqliteMs = (System.nanoTime() - startNs) / 1e6 / count;
            System.out.printf(
                    Locale.ROOT,
                    "a forced commit of 110 facts: ours %.2f ms, SQLite %.2f ms, ratio %.2f%n",
                    journalMs,
                    sqliteMs,
                    journalMs / sqliteMs);
        }
    }

    private static Connection database(Path file) throws SQLException {
        Connection db = DriverManager.getConnection("jdbc:sqlite:" + file);
        try (Statement statement = db.createStatement()) {
            statement.execute("pragma journal_mode=wal");
            statement.execute("pragma synchronous=full");
            statement.execute("create table facts (key text primary key, value blob)");
        }
        db.setAutoCommit(false);
        return db;
    }

    private static void insert(Connection db, List<Facts.Fact> facts) throws SQLException {
        Codec codec = new Codec();
        try (PreparedStatement put = db.prepareStatement("insert or replace into facts values (?, ?)")) {
            for (Facts.Fact fact : facts) {
                codec.beginBatch();
                codec.add(fact);
                byte[] bytes = new byte[codec.position()];
                codec.endBatch(1).get(bytes, 0, bytes.length);
                put.setString(1, fact.key());
                put.setBytes(2, bytes);
                put.addBatch();
            }
            put.executeBatch();
        }
        db.commit();
    }

    /**
     * Measures a start with 10,000 servers and 100,000 slices from the store, from a CBOR file (Jackson), and from
     * SQLite.
     */
    private static void benchStart(Path folder) throws Exception {
        List<Facts.Fact> all = state(10_000, 100_000, 7);
        Path journalFolder = folder.resolve("large");
        try (Store store = Store.open(new RealDisk(journalFolder), 1 << 30, new ArrayList<>())) {
            for (int from = 0; from < all.size(); from += 10_000) {
                store.commit(all.subList(from, Math.min(all.size(), from + 10_000)), List.of());
            }
            store.compact();
        }
        Path cborFile = folder.resolve("large.cbor");
        writeCbor(cborFile, all);
        Path databaseFile = folder.resolve("large.db");
        try (Connection db = database(databaseFile)) {
            insert(db, all);
        }
        double[] bestMs = {1e9, 1e9, 1e9};
        for (int turn = 0; turn < 5; turn++) {
            long startNs = System.nanoTime();
            int found = Store.read(new RealDisk(journalFolder)).image().size();
            bestMs[0] = Math.min(bestMs[0], (System.nanoTime() - startNs) / 1e6);
            startNs = System.nanoTime();
            int read = readCbor(cborFile);
            bestMs[1] = Math.min(bestMs[1], (System.nanoTime() - startNs) / 1e6);
            startNs = System.nanoTime();
            int rows = readDatabase(databaseFile);
            bestMs[2] = Math.min(bestMs[2], (System.nanoTime() - startNs) / 1e6);
            if (found != all.size() || read != all.size() || rows != all.size()) {
                throw new IllegalStateException(found + " " + read + " " + rows);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "a start with 10,000 servers and 100,000 slices: ours %.0f ms, CBOR %.0f ms (ratio "
                        + "%.2f), SQLite %.0f ms (ratio %.2f); %.1f MB%n",
                bestMs[0],
                bestMs[1],
                bestMs[0] / bestMs[1],
                bestMs[2],
                bestMs[0] / bestMs[2],
                size(journalFolder) / 1e6);
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.mapToLong(p -> p.toFile().length()).sum();
        }
    }

    private static void writeCbor(Path file, List<Facts.Fact> all) throws IOException {
        try (OutputStream to = new BufferedOutputStream(Files.newOutputStream(file));
                JsonGenerator out = new CBORFactory().createGenerator(to)) {
            out.writeStartArray();
            for (Facts.Fact fact : all) {
                out.writeStartArray();
                if (fact instanceof Facts.ServerFact f) {
                    out.writeString(f.id());
                    out.writeNumber(f.atNs());
                    out.writeNumber(f.drainingSinceNs());
                    for (List<Long> times : List.of(f.starts(), f.falls(), f.returns())) {
                        out.writeStartArray();
                        for (long time : times) {
                            out.writeNumber(time);
                        }
                        out.writeEndArray();
                    }
                    out.writeString(f.state());
                    out.writeNumber(f.holdNs());
                    out.writeNumber(f.size());
                    out.writeNumber(f.latencyNs());
                    out.writeNumber(f.load());
                } else if (fact instanceof Facts.SliceFact f) {
                    out.writeNumber(f.slice());
                    out.writeNumber(f.atNs());
                    out.writeNumber(f.demand());
                    out.writeNumber(f.version());
                    for (Facts.Line line : f.lines()) {
                        out.writeString(line.server());
                        out.writeNumber(line.weight());
                    }
                }
                out.writeEndArray();
            }
            out.writeEndArray();
        }
    }

    private static int readCbor(Path file) throws IOException {
        Facts.Image image = new Facts.Image();
        try (InputStream from = new BufferedInputStream(Files.newInputStream(file));
                JsonParser in = new CBORFactory().createParser(from)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                if (in.nextToken() == JsonToken.VALUE_STRING) {
                    String id = in.getText();
                    long at = number(in);
                    long draining = number(in);
                    List<Long> starts = times(in);
                    List<Long> falls = times(in);
                    List<Long> returns = times(in);
                    in.nextToken();
                    String state = in.getText();
                    long hold = number(in);
                    in.nextToken();
                    double size = in.getDoubleValue();
                    in.nextToken();
                    double latency = in.getDoubleValue();
                    in.nextToken();
                    image.put(new Facts.ServerFact(
                            id, at, draining, starts, falls, returns, state, hold, size, latency, in.getDoubleValue()));
                    in.nextToken();
                } else {
                    int slice = in.getIntValue();
                    long at = number(in);
                    in.nextToken();
                    double demand = in.getDoubleValue();
                    long version = number(in);
                    List<Facts.Line> lines = new ArrayList<>();
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        String server = in.getText();
                        in.nextToken();
                        lines.add(new Facts.Line(server, in.getDoubleValue()));
                    }
                    image.put(new Facts.SliceFact(slice, at, lines, demand, version));
                }
            }
        }
        return image.size();
    }

    private static long number(JsonParser in) throws IOException {
        in.nextToken();
        return in.getLongValue();
    }

    private static List<Long> times(JsonParser in) throws IOException {
        List<Long> times = new ArrayList<>();
        in.nextToken();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            times.add(in.getLongValue());
        }
        return times;
    }

    private static int readDatabase(Path file) throws Exception {
        Facts.Image image = new Facts.Image();
        try (Connection db = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement statement = db.createStatement();
                var rows = statement.executeQuery("select value from facts")) {
            while (rows.next()) {
                Codec.readBatch(ByteBuffer.wrap(rows.getBytes(1)), Codec.VERSION, new Codec.BatchVisitor() {
                    @Override
                    public void fact(Facts.Fact fact) {
                        image.put(fact);
                    }

                    @Override
                    public void removed(String key) {}
                });
            }
        }
        return image.size();
    }
}
