package puffinbarrow.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Order;

/** A change of a slice's single owner, and who must have stopped before the new one begins. */
class PauseTest {
    private static final long PROXY_LEASE = 1500, WRITE = 200;
    private static final Order TO_B = new Order.SetLine(3, "b", 1);

    private final Pause pause = new Pause(PROXY_LEASE, WRITE);

    private void ownedByA() {
        pause.charged(0, 3, "a");
    }

    private List<Order> change(long now, Set<Integer> joined) {
        return pause.orders(now, List.of(TO_B), joined);
    }

    @Test
    void theNewLineWaitsForEachJoinedProxyAndForWritesInHand() {
        ownedByA();
        assertEquals(List.of(new Order.ClearTable(3), new Order.Mark(-1, true)), change(5000, Set.of(0, 1)));
        pause.applied(5100, 0, -1);
        assertEquals(List.of(), pause.due(9000), "proxy 1 may still send");
        pause.applied(9100, 1, -1);
        assertEquals(List.of(), pause.due(9299), "a write may be in hand");
        assertEquals(9300, pause.nextAtNs());
        assertEquals(List.of(TO_B), pause.due(9300));
        assertEquals(List.of(), pause.due(9400));
    }

    @Test
    void aProxyThatLeftStopsByItsLease() {
        ownedByA();
        change(5000, Set.of(0, 1));
        pause.applied(5100, 0, -1);
        pause.left(5200, 1);
        assertEquals(List.of(), pause.due(5200 + PROXY_LEASE + WRITE - 1));
        assertEquals(List.of(TO_B), pause.due(5200 + PROXY_LEASE + WRITE));
    }

    @Test
    void oneThatLeftJustBeforeTheChangeIsWaitedForToo() {
        ownedByA();
        pause.left(4900, 7);
        change(5000, Set.of());
        assertEquals(List.of(), pause.due(4900 + PROXY_LEASE + WRITE - 1));
        assertEquals(List.of(TO_B), pause.due(4900 + PROXY_LEASE + WRITE));
    }

    @Test
    void aTableFoundEmptyAtATakeOverMayHaveBeenEmptiedOnlyJustNow() {
        pause.charged(1000, 3, null);
        assertEquals(List.of(), change(1001, Set.of(0)));
        assertEquals(List.of(), pause.due(1000 + PROXY_LEASE + WRITE - 1));
        assertEquals(List.of(TO_B), pause.due(1000 + PROXY_LEASE + WRITE));
    }

    @Test
    void whatStandsIsNotTouchedAndTheLastWordCounts() {
        ownedByA();
        List<Order> same = List.of(new Order.SetLine(3, "a", 1), new Order.Mask("x", true));
        assertEquals(same, pause.orders(5000, same, Set.of(0)));
        change(5000, Set.of());
        Order toC = new Order.SetLine(3, "c", 1);
        assertEquals(List.of(), pause.orders(5050, List.of(toC), Set.of()), "one pause is under way");
        assertEquals(List.of(toC), pause.due(9000));
        pause.lost(3);
        assertEquals(List.of(TO_B), change(9100, Set.of()), "not in charge: not its business");
    }

    @Test
    void aRemovalAloneEmptiesAndALaterOwnerWaits() {
        ownedByA();
        assertEquals(
                List.of(new Order.ClearTable(3), new Order.Mark(-1, true)),
                pause.orders(5000, List.of(new Order.SetLine(3, "a", 0)), Set.of(0)));
        assertEquals(List.of(), change(5010, Set.of(0)));
        pause.applied(5020, 0, -1);
        assertEquals(List.of(TO_B), pause.due(5220));
    }
}
