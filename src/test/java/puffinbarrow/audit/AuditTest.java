package puffinbarrow.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import puffinbarrow.audit.Audit.Rule;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/** The audit of handwritten recordings in which each rule is just kept or just broken. Times are milliseconds. */
class AuditTest {
    private final List<Observation> observations = new ArrayList<>();
    private long flow;

    private static CoordinatorConfig config(String slicesLine) {
        return CoordinatorConfig.parse(
                "t",
                "coordinator 0 of 1\nregistry 127.0.0.1:1 push\nstore 127.0.0.1:1\n\n"
                        + (slicesLine.isEmpty() ? "slices 4\n" : slicesLine)
                        + "group read utility 1 budget 1s expiry 2s retriable\ngroup order utility 1 budget 1s expiry 2s "
                        + "deduped zone 500ms\ngroup book utility 1 budget 1s expiry 2s non-retriable\nbare 2s\ngrace 1s\n"
                        + "warm 10s\nfall-multiple 2 for 1s\nqueue 100\npace 200\nhead 10\nmessages 3 per 1s\n",
                new ArrayList<>());
    }

    private static long ms(long ms) {
        return ms * 1_000_000;
    }

    private void listSent(long at, Event.Listed listed, long started, String... servers) {
        List<Event.Entry> entries = new ArrayList<>();
        for (String server : servers) {
            entries.add(new Event.Entry(server, 0, 0, 0, listed, 1, started));
        }
        observations.add(new Observation.ListSent(ms(at), 0, Event.ListKind.PATCH, entries));
    }

    private void applied(long at, Order... orders) {
        observations.add(new Observation.OrdersApplied(ms(at), 0, 0, ms(at), List.of(orders)));
    }

    private Observation.AttemptSent sent(long at, String server, int group, long workMs) {
        Observation.AttemptSent sent =
                new Observation.AttemptSent(ms(at), 0, server, 1, group, flow++, 0, ms(workMs), 0);
        observations.add(sent);
        return sent;
    }

    /** The first attempt ends without an answer, and the flow is sent again to server b. */
    private void sendAgain(Observation.AttemptSent first, long at, boolean provenNotRun) {
        observations.add(new Observation.AttemptEnded(ms(at), 0, first.flow(), 0, false, provenNotRun));
        observations.add(
                new Observation.AttemptSent(ms(at), 0, "b", 1, first.group(), first.flow(), 1, first.workNs(), 0));
    }

    private void workBegan(long at, String server, int zone, int group, long flow) {
        observations.add(new Observation.WorkChanged(ms(at), server, zone, 0, 1, group, flow, true));
    }

    private TreeSet<Rule> broken(String slicesLine) {
        TreeSet<Rule> rules = new TreeSet<>();
        Audit.judge(config(slicesLine), observations, 0).findings().forEach(f -> rules.add(f.rule()));
        return rules;
    }

    private void assertBroken(Rule... rules) {
        assertEquals(new TreeSet<>(List.of(rules)), broken(""));
    }

    @BeforeEach
    void setUpProxyWithTwoServersForSliceOne() {
        listSent(0, Event.Listed.READY, 0, "a", "b", "c");
        observations.add(new Observation.ChargeSent(ms(0), 0, 1, true));
        observations.add(new Observation.StreamChanged(ms(0), 0, 0, true));
        observations.add(new Observation.OwnerRead(ms(0), 0, 1, 0));
        observations.add(new Observation.TableRead(
                ms(0), 0, 1, List.of(new Order.SetLine(1, "a", 1), new Order.SetLine(1, "b", 1))));
    }

    @Test
    void bareIsABreachOnlyBeyondItsLimit() {
        applied(1000, new Order.Mask("a", true), new Order.Mask("b", true));
        applied(2900, new Order.Mask("b", false));
        assertBroken();
        applied(4000, new Order.SetLine(1, "b", 0));
        applied(6100, new Order.SetLine(1, "c", 1));
        assertBroken(Rule.BARE);
    }

    @Test
    void bareWithoutAWarmServerOnTheListIsNoBreach() {
        listSent(900, Event.Listed.GONE, 0, "a", "b", "c");
        listSent(900, Event.Listed.READY, ms(800), "d");
        applied(1000, new Order.Mask("a", true), new Order.Mask("b", true));
        listSent(9000, Event.Listed.READY, ms(800), "d");
        assertBroken();
    }

    @Test
    void sendingAfterTheGracePeriodIsABreach() {
        listSent(1000, Event.Listed.DRAINING, 0, "a");
        sent(1900, "a", 0, 1);
        assertBroken();
        sent(2100, "a", 0, 1);
        assertBroken(Rule.DRAIN);
    }

    @Test
    void gracePeriodStartsWhenAProxyJoinsLater() {
        listSent(1000, Event.Listed.DRAINING, 0, "a");
        observations.add(new Observation.StreamChanged(ms(1200), 0, 0, false));
        sent(2500, "a", 0, 1);
        observations.add(new Observation.StreamChanged(ms(2600), 0, 0, true));
        sent(3500, "a", 0, 1);
        assertBroken();
    }

    @Test
    void serverThatReturnedMayBeUsed() {
        listSent(1000, Event.Listed.GONE, 0, "a");
        listSent(3000, Event.Listed.READY, ms(2900), "a");
        sent(5000, "a", 0, 1);
        assertBroken();
    }

    @Test
    void flowsMayRepeatOnlyOnProofOrInScope() {
        sendAgain(sent(100, "a", 0, 1), 200, false);
        sendAgain(sent(100, "a", 2, 1), 200, true);
        workBegan(100, "a", 0, 1, 50);
        workBegan(500, "b", 0, 1, 50);
        assertBroken();
        sendAgain(sent(300, "a", 2, 1), 400, false);
        assertBroken(Rule.TWICE);
    }

    @Test
    void dedupedEffectInAnotherZoneOrAfterItsWindowIsABreach() {
        workBegan(100, "a", 0, 1, 50);
        workBegan(200, "b", 1, 1, 50);
        assertBroken(Rule.TWICE);
        observations.remove(observations.size() - 1);
        workBegan(700, "b", 0, 1, 50);
        assertBroken(Rule.TWICE);
    }

    @Test
    void withSingleOwnersConcurrentWritesAtTwoServersAreABreach() {
        workBegan(100, "a", 0, 2, 50);
        workBegan(200, "b", 0, 2, 51);
        assertBroken();
        assertEquals(new TreeSet<>(List.of(Rule.TWICE)), broken("slices 4 sole-owner\n"));
    }

    @Test
    void overloadingAColdServerIsABreach() {
        observations.add(new Observation.ServerStarted(ms(1000), "c", 1, 1, 0.25, ms(10_000)));
        listSent(1100, Event.Listed.READY, ms(1000), "c");
        applied(1200, new Order.SetLine(1, "c", 1));
        for (int i = 0; i < 9; i++) {
            sent(2000 + i, "c", 0, 70);
        }
        assertBroken();
        for (int i = 0; i < 3; i++) {
            sent(2010 + i, "c", 0, 70);
        }
        assertBroken(Rule.COLD);
    }

    @Test
    void waitingLinesAreCountedFromDecisionToArrival() {
        for (int i = 0; i < 3; i++) {
            observations.add(new Observation.OrdersReceived(ms(3000 + i), 0, 0, i, ms(1000 + 900 * i), 40));
        }
        assertBroken(Rule.QUEUE);
        observations.removeIf(s -> s instanceof Observation.OrdersReceived);
        for (int i = 0; i < 3; i++) {
            observations.add(new Observation.OrdersReceived(ms(1500 + 900 * i), 0, 0, i, ms(1000 + 900 * i), 40));
        }
        assertBroken();
    }

    @Test
    void messagesToOneProxyAreCountedWithinTheSpan() {
        for (int i = 0; i < 4; i++) {
            observations.add(new Observation.OrdersReceived(ms(1000 + 400 * i), 0, 0, i, ms(1000 + 400 * i), 1));
        }
        assertBroken();
        observations.add(new Observation.OrdersReceived(ms(2250), 0, 0, 9, ms(2250), 1));
        assertBroken(Rule.QUEUE);
    }
}
