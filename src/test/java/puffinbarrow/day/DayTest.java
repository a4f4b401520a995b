package puffinbarrow.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import puffinbarrow.Logic;
import puffinbarrow.audit.Audit;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Runs short days on loopback. The real decision logic must keep every rule; if decisions are altered to break a rule,
 * the audit must report that rule.
 */
class DayTest {
    private static final String SMALL_FLEET =
            """
            coordinators 2
            proxies 4
            backends 9 cores 3
            slices 27
            rate 60
            notice 100ms to 300ms
            transit 60ms
            sums-late 100ms
            seed 11
            """;

    /** Runs the small fleet with these further lines. */
    private static DayReport runDay(String script, Day.Overrides overrides) throws Exception {
        List<Problem> problems = new ArrayList<>();
        Script read = Script.parse("test", SMALL_FLEET + script, problems);
        assertEquals(List.of(), problems);
        try (Day day = new Day(read, new PrintStream(new ByteArrayOutputStream()), overrides)) {
            return day.run();
        }
    }

    /** Returns decisions whose orders are altered by the given change. */
    private static Controller.Factory altered(Function<List<Order>, List<Order>> change) {
        return (settings, seed) -> {
            Logic logic = new Logic(settings, seed);
            return (now, events) -> change.apply(logic.handle(now, events));
        };
    }

    private static void assertBroken(Audit.Rule rule, DayReport report) {
        assertTrue(report.verdict().broke(rule), report.text());
    }

    @Test
    void dayWithManyFaultsKeepsEveryRuleAndEndsEveryFlowOnce() throws Exception {
        DayReport report = runDay(
                """
                length 9s
                at 1s backends 20% die for 2s
                at 2s coordinator 1 killed for 1s
                at 3s release 30% batch 12% drain 1s
                at 4s cut coordinator 0 from registry for 1s
                at 4s list breaks
                at 5s backends 1 fail 80% for 2s
                at 5s cut coordinator 1 from store for 1s
                at 6s proxies 25% unheard for 1s
                at 6s hot 1 keys 10% for 2s
                at 7s backends add 1
                """,
                new Day.Overrides(Logic::new, List.of()));
        assertTrue(report.passed(), report.text());
        assertEquals(report.result().intended, report.flows().size());
        assertTrue(report.chargesHandedOver() > 0 && report.verdict().ordersFrames() > 0);
        for (String fault : List.of(
                "die",
                "killed",
                "started again",
                "release",
                "from registry",
                "list breaks",
                "fail 80%",
                "from store",
                "unheard",
                "hot 1",
                "add 1")) {
            assertTrue(report.faultLog().stream().anyMatch(t -> t.contains(fault)), fault);
        }
    }

    @Test
    void auditReportsProxiesWithoutBackendsIfLinesAreWithheld() throws Exception {
        assertBroken(
                Audit.Rule.BARE,
                runDay(
                        "length 6s\nset bare 1s\nat 500ms backends 30% die for 5s\n",
                        new Day.Overrides(
                                altered(orders -> orders.stream()
                                        .filter(o -> !(o instanceof Order.SetLine))
                                        .toList()),
                                List.of())));
    }

    @Test
    void auditReportsIgnoredDrains() throws Exception {
        assertBroken(
                Audit.Rule.DRAIN,
                runDay(
                        "length 6s\nset grace 2s\nset queue 1000\nat 500ms backends 30% preempt for 5s\n",
                        new Day.Overrides(
                                altered(orders -> orders.stream()
                                        .filter(o -> !(o instanceof Order.Mask m && m.masked())
                                                && !(o instanceof Order.SetLine l && l.weight() == 0))
                                        .toList()),
                                List.of())));
    }

    @Test
    void auditReportsRetriesWithoutProof() throws Exception {
        assertBroken(
                Audit.Rule.TWICE,
                runDay(
                        "length 5s\nat 500ms backends 4 lose 60% for 4s\n",
                        new Day.Overrides(
                                altered(orders -> orders.stream()
                                        .map(o -> o instanceof Order.SetLevel l
                                                ? new Order.SetLevel(l.table(), l.groups(), 1, Order.Retry.TWICE)
                                                : o)
                                        .toList()),
                                List.of())));
    }

    @Test
    void auditReportsAnOverloadedColdServer() throws Exception {
        Controller.Factory flooding = (settings, seed) -> {
            Logic logic = new Logic(settings, seed);
            Set<Integer> ownSlices = new TreeSet<>();
            return (now, events) -> {
                List<Order> orders = new ArrayList<>(logic.handle(now, events));
                for (Event event : events) {
                    if (event instanceof Event.SliceCharge e && e.given()) {
                        ownSlices.add(e.slice());
                    } else if (event instanceof Event.ServerList e) {
                        e.entries().stream()
                                .filter(s -> s.startedNs() > 0 && s.listed() == Event.Listed.READY)
                                .forEach(s ->
                                        ownSlices.forEach(n -> orders.add(new Order.SetLine(n, s.server(), 1000))));
                    }
                }
                return orders;
            };
        };
        assertBroken(
                Audit.Rule.COLD,
                runDay(
                        "length 7s\nrate 90\ncold 10% for 15s\nset fall-multiple 2 for 1s\n" + "at 1s backends add 1\n",
                        new Day.Overrides(flooding, List.of())));
    }

    @Test
    void auditReportsAFloodedChannel() throws Exception {
        // The coordinator is given limits far above those of the audit.
        assertBroken(
                Audit.Rule.QUEUE,
                runDay(
                        "length 3s\nset queue 300\n",
                        new Day.Overrides(
                                altered(orders -> {
                                    List<Order> more = new ArrayList<>(orders);
                                    for (int i = 0; i < 200; i++) {
                                        more.add(new Order.Mask("flood:" + i, false));
                                    }
                                    return more;
                                }),
                                List.of("queue 8000", "messages 0 per 10s"))));
    }

    @Test
    void coordinatorKeepsTheChannelLimitsIfDecisionsExceedThem() throws Exception {
        // Floods only from the first flow on: flooded from its start, a slow fleet never has all its streams at once.
        DayReport report = runDay(
                "length 3s\nset queue 1500\n",
                new Day.Overrides(
                        (settings, seed) -> {
                            Logic logic = new Logic(settings, seed);
                            boolean[] flowing = new boolean[1];
                            return (now, events) -> {
                                flowing[0] |= events.stream()
                                        .anyMatch(e -> e instanceof Event.SliceDemand d && d.flows() > 0);
                                List<Order> more = new ArrayList<>(logic.handle(now, events));
                                for (int i = 0; flowing[0] && i < 200; i++) {
                                    more.add(new Order.Mask("flood:" + i, false));
                                }
                                return more;
                            };
                        },
                        List.of()));
        assertTrue(!report.verdict().broke(Audit.Rule.QUEUE), report.text());
        assertTrue(report.coordinators().values().stream()
                .anyMatch(v -> v.keySet().stream().anyMatch(k -> k.startsWith("channel.cut_off"))));
    }
}
