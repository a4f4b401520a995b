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

/** Short days on loopback: the sound coordinator keeps every rule, and each broken one is caught at its rule. */
class DayTest {
    private static final String SMALL =
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

    private static Page play(String script, Day.Bend bend) throws Exception {
        List<Problem> problems = new ArrayList<>();
        Script read = Script.parse("test", SMALL + script, problems);
        assertEquals(List.of(), problems);
        try (Day day = new Day(read, new PrintStream(new ByteArrayOutputStream()), bend)) {
            return day.run();
        }
    }

    /** Decisions that are right but for what the change makes of their orders. */
    private static Controller.Factory bent(Function<List<Order>, List<Order>> change) {
        return (settings, seed) -> {
            Logic logic = new Logic(settings, seed);
            return (now, events) -> change.apply(logic.handle(now, events));
        };
    }

    private static void caught(Audit.Rule rule, Page page) {
        assertTrue(page.verdict().broke(rule), page.text());
    }

    @Test
    void aShortBadDayKeepsEveryRuleAndEveryFlowHasOneEnd() throws Exception {
        Page page = play(
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
                new Day.Bend(Logic::new, List.of()));
        assertTrue(page.sound(), page.text());
        assertEquals(page.result().intended, page.flows().size());
        assertTrue(page.handed() > 0 && page.verdict().ordersFrames() > 0);
        for (String trouble : List.of(
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
            assertTrue(page.troubles().stream().anyMatch(t -> t.contains(trouble)), trouble);
        }
    }

    @Test
    void linesWithheldLeaveProxiesBare() throws Exception {
        caught(
                Audit.Rule.BARE,
                play(
                        "length 6s\nset bare 1s\nat 500ms backends 30% die for 5s\n",
                        new Day.Bend(
                                bent(orders -> orders.stream()
                                        .filter(o -> !(o instanceof Order.SetLine))
                                        .toList()),
                                List.of())));
    }

    @Test
    void drainsIgnoredAreCaught() throws Exception {
        caught(
                Audit.Rule.DRAIN,
                play(
                        "length 6s\nset grace 2s\nset queue 1000\nat 500ms backends 30% preempt for 5s\n",
                        new Day.Bend(
                                bent(orders -> orders.stream()
                                        .filter(o -> !(o instanceof Order.Mask m && m.out())
                                                && !(o instanceof Order.SetLine l && l.weight() == 0))
                                        .toList()),
                                List.of())));
    }

    @Test
    void retriesWithoutProofAreCaught() throws Exception {
        caught(
                Audit.Rule.TWICE,
                play(
                        "length 5s\nat 500ms backends 4 lose 60% for 4s\n",
                        new Day.Bend(
                                bent(orders -> orders.stream()
                                        .map(o -> o instanceof Order.SetLevel l
                                                ? new Order.SetLevel(l.table(), l.groups(), 1, Order.Retry.TWICE)
                                                : o)
                                        .toList()),
                                List.of())));
    }

    @Test
    void aColdServerFloodedIsCaught() throws Exception {
        Controller.Factory floods = (settings, seed) -> {
            Logic logic = new Logic(settings, seed);
            Set<Integer> mine = new TreeSet<>();
            return (now, events) -> {
                List<Order> orders = new ArrayList<>(logic.handle(now, events));
                for (Event event : events) {
                    if (event instanceof Event.SliceCharge e && e.given()) {
                        mine.add(e.slice());
                    } else if (event instanceof Event.ServerList e) {
                        e.entries().stream()
                                .filter(s -> s.startedNs() > 0 && s.listed() == Event.Listed.READY)
                                .forEach(s -> mine.forEach(n -> orders.add(new Order.SetLine(n, s.server(), 1000))));
                    }
                }
                return orders;
            };
        };
        caught(
                Audit.Rule.COLD,
                play(
                        "length 7s\nrate 90\ncold 10% for 15s\nset fall-multiple 2 for 1s\n" + "at 1s backends add 1\n",
                        new Day.Bend(floods, List.of())));
    }

    @Test
    void aFloodedChannelIsCaught() throws Exception {
        // The coordinator is told of a limit far above the one that it is judged by.
        caught(
                Audit.Rule.QUEUE,
                play(
                        "length 3s\nset queue 300\n",
                        new Day.Bend(
                                bent(orders -> {
                                    List<Order> more = new ArrayList<>(orders);
                                    for (int i = 0; i < 200; i++) {
                                        more.add(new Order.Mask("flood:" + i, false));
                                    }
                                    return more;
                                }),
                                List.of("queue 8000", "messages 0 per 10s"))));
    }

    @Test
    void theCoordinatorsOwnGuardHoldsTheLimitsAgainstWrongOrders() throws Exception {
        // From the first flow on: flooded from its start, a slow fleet never has all its streams at a time.
        Page page = play(
                "length 3s\nset queue 1500\n",
                new Day.Bend(
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
        assertTrue(!page.verdict().broke(Audit.Rule.QUEUE), page.text());
        assertTrue(page.coordinators().values().stream()
                .anyMatch(v -> v.keySet().stream().anyMatch(k -> k.startsWith("channel.cut_off"))));
    }
}
