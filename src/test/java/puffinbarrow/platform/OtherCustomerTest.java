package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import puffinbarrow.Logic;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Runs the controller with settings of an invented customer, whose names and limits no deployment uses: the orders must
 * follow from the settings alone.
 */
class OtherCustomerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final PlatformCodec.ClockOffset CLOCK = new PlatformCodec.ClockOffset(0, 0);

    /**
     * Unusual but valid settings: one or two traffic groups, one zone, names with spaces and non-ASCII letters,
     * tenants, one second to stop sending to a draining backend, no retries.
     */
    private static Configuration configuration(String groups, int proxies, int backlog) throws Exception {
        return Configuration.read(
                ("{\"name\":\"c-7\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"seed\":\"zz\","
                                + "\"limits\":{\"cores\":0.25,\"memory_mb\":64,\"sockets\":40},\"registry\":{\"address\":\"127.0.0.1:3\"},"
                                + "\"known\":{\"generation\":0,\"reset\":true,\"instances\":["
                                + backend("x/1", "SERVING") + "," + backend("x/2", "SERVING")
                                + "]},\"settings\":{\"Zones\":[\"Süd Ost\"],\"Models\":[\"huge\"],\"Discovery\":\"ask\",\"RequestClasses\":["
                                + groups
                                + "],\"Projects\":[{\"Name\":\"t 1\",\"Fraction\":1}],\"Rules\":{\"StopSendingWithinNs\":1000000000,\"WarmWithinNs\":1,"
                                + "\"StartCapacity\":1,\"FallMultiple\":9},\"Domain\":{\"Ranges\":3,\"ProxyCount\":"
                                + proxies + ",\"Backlog\":" + backlog
                                + ",\"EgressPerS\":50,\"Overhead\":0,\"ReportEveryNs\":700000000,\"ThrottleBy\":\"fraction\"}}}")
                        .getBytes(StandardCharsets.UTF_8),
                CLOCK);
    }

    private static String group(String name, int budgetMs, double utility) {
        return "{\"Name\":\"" + name + "\",\"AimNs\":" + budgetMs + "000000,\"Importance\":" + utility
                + ",\"Semantics\":\"once\"}";
    }

    private static String backend(String id, String state) {
        return "{\"instanceId\":\"" + id
                + "\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"Süd Ost\",\"machineType\":\"huge\",\"cell\":0,"
                + "\"lifecycle\":\"" + state + "\",\"weight\":250,\"startedAtMs\":0}";
    }

    /**
     * Returns the orders of a coordinator with all three slices and one proxy, as sent to the relay.
     *
     * @param reports collectors' reports, repeated every second
     */
    private static List<String> orders(Configuration config, long seconds, List<List<String>> reports) {
        Logic logic = new Logic(config.settings(), config.seed());
        PlatformCodec codec = new PlatformCodec(config.names(), CLOCK);
        List<String> sent = new ArrayList<>();
        for (long tick = 0; tick <= seconds * 4; tick++) {
            List<Event> events = new ArrayList<>();
            if (tick == 0) {
                events.add(new Event.ServerList(
                        Event.ListKind.STALE_COPY, config.known().list().entries()));
                events.add(codec.proxyJoined(Map.of("id", "0", "site", "Süd Ost", "rps", "5", "new", "1")));
                for (int slice = 0; slice < 3; slice++) {
                    events.add(new Event.SliceCharge(slice, true));
                }
            } else if (tick % 4 == 0) {
                reports.forEach(report -> events.add(codec.decodeReport(report)));
            }
            for (Order order : logic.handle(tick * SECOND / 4, events)) {
                String text = codec.encodeOrder(order);
                if (text != null) {
                    sent.add(text);
                    if (order instanceof Order.Mark mark) {
                        logic.handle(tick * SECOND / 4, List.of(new Event.InForce(0, mark.number(), 1)));
                    }
                }
            }
        }
        return sent;
    }

    private static List<String> sums(String target, int count, int fail, double mean) {
        return List.of(
                "upstream_stats",
                "site",
                "Süd Ost",
                "target",
                target,
                "count",
                String.valueOf(count),
                "fail",
                String.valueOf(fail),
                "mean",
                String.valueOf(mean),
                "over",
                "700",
                "util",
                "");
    }

    @Test
    void acceptsNamesOfTheSettingsAndRefusesOthers() throws Exception {
        PlatformCodec codec = new PlatformCodec(
                configuration(group("only one", 40, 7), 2, 100).names(), CLOCK);
        assertEquals(
                new Event.SliceDemand(2, 0, 4, 0, SECOND),
                codec.decodeReport(List.of(
                        "range_stats", "range", "2", "lane", "only one", "count", "4", "fail", "0", "over", "1000")));
        for (List<String> other :
                List.of(List.of("range", "3", "lane", "only one"), List.of("range", "2", "lane", "lookup"))) {
            List<String> report = new ArrayList<>(List.of("range_stats"));
            report.addAll(other);
            report.addAll(List.of("count", "4", "fail", "0", "over", "1000"));
            assertThrows(ProtocolException.class, () -> codec.decodeReport(report));
        }
        assertThrows(
                ProtocolException.class,
                () -> codec.proxyJoined(Map.of("id", "2", "site", "Süd Ost", "rps", "5", "new", "1")));
        assertThrows(
                ProtocolException.class,
                () -> codec.proxyJoined(Map.of("id", "0", "site", "a", "rps", "5", "new", "1")));
    }

    @Test
    void assignsLinesToEachSliceAndNeitherRetriesNorShedsTheOnlyGroup() throws Exception {
        List<String> sent = orders(
                configuration(group("only one", 40, 7), 1, 1000),
                8,
                List.of(sums("x/1", 50, 30, 39), sums("x/2", 50, 30, 39)));
        for (int slice = 0; slice < 3; slice++) {
            String line = "share," + slice + ",x/";
            assertTrue(sent.stream().anyMatch(order -> order.startsWith(line)), sent.toString());
        }
        // All backends drop flows: under overload nothing is retried. The only group has the highest utility, so it is
        // admitted in full.
        assertEquals(
                "admit,*,only one,1.0,0",
                sent.stream()
                        .filter(order -> order.startsWith("admit"))
                        .reduce((a, b) -> b)
                        .orElse(""));
    }

    @Test
    void shedsGroupWithTheLowestUtilityWhateverTheOrderOfGroups() throws Exception {
        List<List<String>> overload = List.of(sums("x/1", 50, 30, 900), sums("x/2", 50, 30, 900));
        String lowUtility = group("cheap", 1000, 1);
        String highUtility = group("dear", 1000, 2);
        for (String groups : List.of(lowUtility + "," + highUtility, highUtility + "," + lowUtility)) {
            List<String> sent = orders(configuration(groups, 1, 1000), 8, overload);
            assertTrue(sent.stream().anyMatch(order -> order.matches("admit,\\*,cheap,0\\.\\d+,0")), sent.toString());
            assertTrue(sent.stream().noneMatch(order -> order.matches("admit,\\*,dear,0\\..*")), sent.toString());
        }
    }

    @Test
    void limitsABatchOfOrdersToTheQueueLimit() throws Exception {
        // Ten proxies share the queue: a limit of 20 leaves room for two orders, a limit of 100 for ten.
        List<String> smallQueue = orders(configuration(group("only one", 40, 7), 10, 20), 0, List.of());
        List<String> largeQueue = orders(configuration(group("only one", 40, 7), 10, 100), 0, List.of());
        assertTrue(smallQueue.size() < largeQueue.size(), smallQueue + " against " + largeQueue);
        assertTrue(10 * largeQueue.size() <= 100, largeQueue.toString());
    }

    @Test
    void withdrawsDrainingBackendWithinTheConfiguredTime() throws Exception {
        Configuration config = configuration(group("only one", 40, 7), 1, 1000);
        Logic logic = new Logic(config.settings(), config.seed());
        PlatformCodec codec = new PlatformCodec(config.names(), CLOCK);
        logic.handle(
                0,
                List.of(
                        new Event.ServerList(
                                Event.ListKind.STALE_COPY, config.known().list().entries()),
                        new Event.ProxyJoined(0, true, 5, 0),
                        new Event.SliceCharge(1, true)));
        Event draining = codec.decodeListing(Configuration.json(
                        ("{\"generation\":1,\"reset\":false,\"instances\":[" + backend("x/1", "DRAINING") + "]}")
                                .getBytes(StandardCharsets.UTF_8)))
                .list();
        List<String> sent = new ArrayList<>();
        for (long at = SECOND; at < 2 * SECOND; at += SECOND / 4) {
            logic.handle(at, at == SECOND ? List.of(draining, new Event.InForce(0, 1, 1)) : List.of()).stream()
                    .map(codec::encodeOrder)
                    .filter(order -> order != null)
                    .forEach(sent::add);
        }
        assertTrue(sent.contains("withdraw,x/1"), sent.toString());
    }
}
