package puffinbarrow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Listed;

/** A coordinator that starts with an old list leaves alone what runs on servers that only stored lines name. */
class PresumedServerTest {
    private static final int SLICES = 8;

    /** The old list has s0 to s3, of which s0 and s1 are gone; the slices stand on s2, s3 and the new s4 and s5. */
    private final FakeHost host = new FakeHost(FakeHost.settings(SLICES, true, 0));

    @BeforeEach
    void restartWithAnOldList() {
        host.queue(new Event.ServerList(Event.ListKind.STALE_COPY, entries("s0", "s1", "s2", "s3")));
        for (int slice = 0; slice < SLICES; slice++) {
            host.give(slice, "s" + (2 + slice % 4));
            host.tables.get(slice).put("s" + (2 + (slice + 2) % 4), 0.03);
            host.queue(new Event.StoredLine(slice, "s" + (2 + (slice + 2) % 4), 0.03));
        }
        host.queue(new Event.ProxyJoined(0, false, 1, 0), new Event.ProxyJoined(1, false, 1, 0));
        host.run(0.5);
    }

    private static List<Event.Entry> entries(String... servers) {
        List<Event.Entry> entries = new ArrayList<>();
        for (String server : servers) {
            entries.add(FakeHost.entry(server, Listed.READY, 0));
        }
        return entries;
    }

    private void assertTablesStand() {
        for (int slice = 0; slice < SLICES; slice++) {
            String primary = "s" + (2 + slice % 4);
            String standby = "s" + (2 + (slice + 2) % 4);
            assertEquals(List.of(primary, standby), host.usableServers(slice));
        }
    }

    /** Guards against flows lost at servers that have gone: slices of running servers were moved by the old list. */
    @Test
    void linesToServersThatTheOldListLacksStandUntilTheCurrentListComes() {
        assertTablesStand();
        assertEquals(Set.of(), host.masks);
        List<Event.Entry> current = entries("s2", "s3");
        current.add(FakeHost.entry("s4", Listed.READY, host.nowNs - 100 * FakeHost.SECOND));
        current.add(FakeHost.entry("s5", Listed.READY, host.nowNs - 100 * FakeHost.SECOND));
        host.queue(new Event.ServerList(Event.ListKind.WHOLE, current));
        host.run(3);
        assertTablesStand();
        assertEquals(Set.of(), host.masks, "a server that was never listed before has not been restarted");
    }

    @Test
    void serverThatTheCurrentListLacksLosesItsLinesAtOnce() {
        host.queue(new Event.ServerList(Event.ListKind.WHOLE, entries("s2", "s3", "s4")));
        host.run(0.25);
        assertTrue(host.masks.contains("s5"));
        host.run(2);
        host.tables.values().forEach(table -> assertFalse(table.containsKey("s5")));
    }

    @Test
    void serverThatTheChangesCallDrainingIsMaskedAtOnce() {
        host.list("s5", Listed.DRAINING, 0);
        host.run(0.25);
        assertTrue(host.masks.contains("s5"));
    }

    /** Without any list the rule on drains decides: half of the grace period is left for push and delivery. */
    @Test
    void serverThatNoListNamesInTimeIsMaskedWithinHalfOfTheGracePeriod() {
        host.run(FakeHost.GRACE_NS / 2.0 / FakeHost.SECOND - 0.25);
        assertEquals(Set.of("s4", "s5"), host.masks);
    }

    @Test
    void presumedServerGetsNoFurtherLines() {
        host.list("s2", Listed.DRAINING, 0);
        host.run(0.25);
        host.tables.forEach((slice, table) -> {
            String standby = "s" + (2 + (slice + 2) % 4);
            String primary = "s" + (2 + slice % 4);
            table.keySet().stream()
                    .filter(server -> !server.equals(standby) && !server.equals(primary))
                    .forEach(server -> assertTrue(server.compareTo("s4") < 0, server + " is not in the list"));
        });
    }
}
