package puffinbarrow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks for which servers {@link MaskTracker} wants the state ordered again. */
class MaskTrackerTest {
    private static final List<String> SERVERS = List.of("a", "b", "c");

    private final MaskTracker tracker = new MaskTracker();

    /** Orders all that is to be ordered again, as not masked, in one push. */
    private long push() {
        List.copyOf(tracker.toRestate()).forEach(server -> tracker.state(server, false));
        return tracker.pushed(server -> false);
    }

    @Test
    void returningProxyMakesTheStateOfAllServersUncertain() {
        tracker.proxyConnected(0, false, SERVERS);
        assertEquals(Set.copyOf(SERVERS), tracker.toRestate());
    }

    @Test
    void acknowledgedStateIsNotOrderedAgain() {
        tracker.proxyConnected(0, false, SERVERS);
        tracker.acknowledged(0, push());
        tracker.proxyConnected(0, false, SERVERS);
        assertEquals(Set.of(), tracker.toRestate());
    }

    @Test
    void acknowledgementOfAPushThatLeftSomethingOutConfirmsNothing() {
        tracker.proxyConnected(0, false, SERVERS);
        tracker.state("a", false);
        tracker.acknowledged(0, tracker.pushed(server -> false));
        tracker.proxyConnected(0, false, SERVERS);
        assertEquals(Set.copyOf(SERVERS), tracker.toRestate());
    }

    @Test
    void eachProxyIsConfirmedOnItsOwn() {
        tracker.proxyConnected(0, false, SERVERS);
        tracker.acknowledged(0, push());
        tracker.proxyConnected(1, false, SERVERS);
        assertEquals(Set.copyOf(SERVERS), tracker.toRestate());
    }

    @Test
    void freshProxyGetsTheOrderedMasksOnly() {
        tracker.state("b", true);
        tracker.pushed(server -> false);
        tracker.proxyConnected(0, true, SERVERS);
        assertEquals(Set.of("b"), tracker.toRestate());
    }

    @Test
    void ofAProxyThatWasFreshInThisRunOnlyStatedServersAreUncertain() {
        tracker.proxyConnected(0, true, SERVERS);
        tracker.state("b", false);
        tracker.pushed(server -> false);
        tracker.proxyConnected(0, false, SERVERS);
        assertEquals(Set.of("b"), tracker.toRestate());
    }

    @Test
    void serverThatAppearsIsUncertainOnceAProxyHasReturned() {
        tracker.proxyConnected(0, true, SERVERS);
        tracker.serverAppeared("d");
        assertEquals(Set.of(), tracker.toRestate());
        tracker.proxyConnected(1, false, List.of());
        tracker.serverAppeared("e");
        assertEquals(Set.of("e"), tracker.toRestate());
    }

    @Test
    void serverThatNeedsNoOrderYetDoesNotKeepAPushFromConfirming() {
        tracker.proxyConnected(0, false, SERVERS);
        tracker.state("a", false);
        tracker.state("b", false);
        tracker.acknowledged(0, tracker.pushed("c"::equals));
        assertEquals(Set.of("c"), tracker.toRestate());
        tracker.state("c", false);
        tracker.pushed(server -> false);
        tracker.proxyConnected(0, false, SERVERS);
        assertEquals(Set.of("c"), tracker.toRestate(), "ordered since the proxy's last acknowledgement");
    }
}
