package puffinbarrow.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Order;

/** Tests which proxies and writes must have stopped before a slice's new single owner is announced. */
class OwnerChangePauseTest {
    private static final long PROXY_LEASE = 1500;
    private static final long MAX_WRITE = 200;
    private static final Order TO_B = new Order.SetLine(3, "b", 1);

    private final OwnerChangePause pause = new OwnerChangePause(PROXY_LEASE, MAX_WRITE);

    private void acquireSliceOwnedByA() {
        pause.sliceAcquired(0, 3, "a");
    }

    private List<Order> changeOwnerToB(long now, Set<Integer> joined) {
        return pause.delayOwnerChanges(now, List.of(TO_B), joined);
    }

    @Test
    void newOwnerWaitsForConnectedProxiesAndForWritesInProgress() {
        acquireSliceOwnedByA();
        assertEquals(List.of(new Order.ClearTable(3), new Order.Mark(-1, true)), changeOwnerToB(5000, Set.of(0, 1)));
        pause.markConfirmed(5100, 0, -1);
        assertEquals(List.of(), pause.dueLines(9000), "proxy 1 may still send");
        pause.markConfirmed(9100, 1, -1);
        assertEquals(List.of(), pause.dueLines(9299), "a write may be in progress");
        assertEquals(9300, pause.nextAtNs());
        assertEquals(List.of(TO_B), pause.dueLines(9300));
        assertEquals(List.of(), pause.dueLines(9400));
    }

    @Test
    void disconnectedProxyIsWaitedForUntilItsLeaseEnds() {
        acquireSliceOwnedByA();
        changeOwnerToB(5000, Set.of(0, 1));
        pause.markConfirmed(5100, 0, -1);
        pause.proxyLeft(5200, 1);
        assertEquals(List.of(), pause.dueLines(5200 + PROXY_LEASE + MAX_WRITE - 1));
        assertEquals(List.of(TO_B), pause.dueLines(5200 + PROXY_LEASE + MAX_WRITE));
    }

    @Test
    void proxyDisconnectedBeforeTheChangeIsWaitedFor() {
        acquireSliceOwnedByA();
        pause.proxyLeft(4900, 7);
        changeOwnerToB(5000, Set.of());
        assertEquals(List.of(), pause.dueLines(4900 + PROXY_LEASE + MAX_WRITE - 1));
        assertEquals(List.of(TO_B), pause.dueLines(4900 + PROXY_LEASE + MAX_WRITE));
    }

    @Test
    void tableFoundEmptyAtTakeoverIsTreatedAsJustCleared() {
        pause.sliceAcquired(1000, 3, null);
        assertEquals(List.of(), changeOwnerToB(1001, Set.of(0)));
        assertEquals(List.of(), pause.dueLines(1000 + PROXY_LEASE + MAX_WRITE - 1));
        assertEquals(List.of(TO_B), pause.dueLines(1000 + PROXY_LEASE + MAX_WRITE));
    }

    @Test
    void unchangedOwnerPassesThroughAndLatestOwnerWins() {
        acquireSliceOwnedByA();
        List<Order> same = List.of(new Order.SetLine(3, "a", 1), new Order.Mask("x", true));
        assertEquals(same, pause.delayOwnerChanges(5000, same, Set.of(0)));
        changeOwnerToB(5000, Set.of());
        Order toC = new Order.SetLine(3, "c", 1);
        assertEquals(List.of(), pause.delayOwnerChanges(5050, List.of(toC), Set.of()), "one pause is under way");
        assertEquals(List.of(toC), pause.dueLines(9000));
        pause.sliceLost(3);
        assertEquals(List.of(TO_B), changeOwnerToB(9100, Set.of()), "slices held by another coordinator pass through");
    }

    @Test
    void removalClearsTheTableAndALaterOwnerWaits() {
        acquireSliceOwnedByA();
        assertEquals(
                List.of(new Order.ClearTable(3), new Order.Mark(-1, true)),
                pause.delayOwnerChanges(5000, List.of(new Order.SetLine(3, "a", 0)), Set.of(0)));
        assertEquals(List.of(), changeOwnerToB(5010, Set.of(0)));
        pause.markConfirmed(5020, 0, -1);
        assertEquals(List.of(TO_B), pause.dueLines(5220));
    }
}
