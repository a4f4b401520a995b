package puffinbarrow.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import puffinbarrow.Logic;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Order;
import puffinbarrow.wire.WireHost;

/** Replays a short recorded day with failures over sockets; {@link WireHost} makes the recording here. */
class ReplayTest {
    private static final int SERVERS = 6;
    private static final int SLICES = 18;
    private static final int PROXIES = 4;

    private static String server(int i) {
        return "10.0.0." + i + ":80";
    }

    /**
     * Returns the batches of twenty seconds: reports each second, a server that fails requests, one that disappears and
     * returns, one that drains, and a proxy that leaves and comes back.
     */
    private static List<String> batches() {
        List<String> batches = new ArrayList<>();
        StringBuilder start = new StringBuilder("[\"Born\",0,77,{\"Discovery\":\"ask\",\"Ceilings\":{\"Probes\":true},"
                + "\"RequestClasses\":[{\"AimNs\":1000000000,\"Importance\":1.0},{\"AimNs\":500000000,\"Importance\":3.0}],"
                + "\"Domain\":{\"Ranges\":" + SLICES + ",\"Backlog\":2000.0,\"EgressPerS\":1500.0,\"Overhead\":8.0,"
                + "\"PushesAllowed\":20,\"CountedOverNs\":10000000000,\"ReportEveryNs\":1000000000,\"ThrottleBy\":"
                + "\"fraction\"},\"Rules\":{\"StopSendingWithinNs\":3000000000,\"WarmWithinNs\":12000000000,"
                + "\"StartCapacity\":0.2,\"FallMultiple\":3.0,\"DroppedStayOpen\":true}}]");
        StringBuilder pool = new StringBuilder(",[\"Pool\",0,[");
        for (int i = 0; i < SERVERS; i++) {
            pool.append(i > 0 ? "," : "").append("[\"").append(server(i)).append("\",0,0,0,\"ready\",1.25,0]");
        }
        StringBuilder first = new StringBuilder(start).append(pool).append("]],[\"Registry\",0,1,\"stale_copy\",0]");
        for (int i = 0; i < SLICES; i++) {
            first.append(",[\"Leased\",0,")
                    .append(i)
                    .append(",true],[\"StandingLine\",0,\"")
                    .append(server(i % SERVERS))
                    .append("\",")
                    .append(i)
                    .append(",1.0]");
        }
        for (int i = 0; i < PROXIES; i++) {
            first.append(",[\"Connected\",0,true,6.5,")
                    .append(i)
                    .append(",")
                    .append(i % 2)
                    .append("]");
        }
        batches.add(batch(0, first.toString()));
        for (int tick = 1; tick < 80; tick++) {
            StringBuilder events = new StringBuilder("[\"Wakeup\",0,0]");
            if (tick % 4 == 0) {
                for (int i = 0; i < SERVERS; i++) {
                    boolean fails = i == 2 && tick > 12 && tick < 40;
                    events.append(String.format(
                            Locale.ROOT,
                            ",[\"Observed\",0,%d,1000000000,%d,\"%s\",%d,%d,"
                                    + "{\"cpu_share\":0.%d,\"served_ps\":14.5}]",
                            i % 2,
                            200_000_000 + tick * 1234L,
                            server(i),
                            fails ? 15 : 0,
                            20 + tick % 3,
                            41 + i));
                }
                for (int i = 0; i < SLICES; i++) {
                    events.append(",[\"RangeLoad\",0,")
                            .append(i)
                            .append(",")
                            .append(i % 2)
                            .append(",")
                            .append(3 + (i * 7 + tick) % 9)
                            .append(",0,1000000000]");
                }
            }
            events.append(
                    switch (tick) {
                        case 2 -> ",[\"Registry\",0,2,\"broken\",0]";
                        case 30 -> list("gone", 4, 0);
                        case 33 -> ",[\"Health\",0,250000000,\"" + server(4) + "\",3,null]";
                        case 35 -> ",[\"Health\",0,250000000,\"" + server(4) + "\",4,null]";
                        case 45 -> list("ready", 4, 7_000_000_000L);
                        case 50 -> list("draining", 1, 0);
                        case 55 -> ",[\"Left\",0,3]";
                        case 60 -> ",[\"Connected\",0,false,6.5,3,1]";
                        default -> "";
                    });
            batches.add(batch(tick, events.toString()));
        }
        return batches;
    }

    private static String list(String mode, int server, long startedNs) {
        return ",[\"Pool\",1,[[\"" + server(server) + "\",0,0,0,\"" + mode + "\",1.25," + startedNs
                + "]]],[\"Registry\",0,3,\"patch\",1]";
    }

    private static String batch(int tick, String events) {
        return "{\"AtTimeNs\":" + (8_000_000_000L + tick * 250_000_000L) + ",\"seq\":" + tick + ",\"happened\":["
                + events + "]}";
    }

    /** Writes the recording of the day as decided by {@code decisions}, and returns its file. */
    private static Path record(Path folder, Controller.Factory decisions) throws IOException {
        WireHost host = new WireHost(decisions);
        StringBuilder text = new StringBuilder();
        for (String batch : batches()) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            host.run(new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)), out);
            text.append(">> process 0, ")
                    .append(batch.length())
                    .append(" bytes\n")
                    .append(batch)
                    .append('\n')
                    .append("<< process 0, ")
                    .append(out.size())
                    .append(" bytes\n")
                    .append(out);
        }
        return Files.writeString(folder.resolve("day.tap"), text);
    }

    @Test
    void dayWithFailuresReplaysWithEqualOrders(@TempDir Path folder) throws IOException {
        Replay.Result result = Replay.play(record(folder, Logic::new), Logic::new);
        assertEquals(null, result.difference());
        assertEquals(80, result.batches());
        assertTrue(result.orders() > 60, "orders " + result.orders());
    }

    @Test
    void missingOrderIsReported(@TempDir Path folder) throws IOException {
        Path recording = record(folder, Logic::new);
        Controller.Factory withoutMasksOfServerOne = (settings, seed) -> {
            Logic logic = new Logic(settings, seed);
            return (now, events) -> logic.handle(now, events).stream()
                    .filter(o -> !(o instanceof Order.Mask m && m.server().equals(server(1))))
                    .toList();
        };
        Replay.Result result = Replay.play(recording, withoutMasksOfServerOne);
        assertTrue(result.difference().contains("recorded Mask 0 " + server(1)), result.difference());
    }

    @Test
    void malformedRecordingIsRefusedWithItsLine(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("no.tap"), "hello\n");
        IOException refused = assertThrows(IOException.class, () -> Replay.play(file, Logic::new));
        assertTrue(refused.getMessage().startsWith("line 1: found 'hello'"));
    }
}
