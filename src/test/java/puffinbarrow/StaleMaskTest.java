package puffinbarrow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static puffinbarrow.FakeHost.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Listed;
import puffinbarrow.control.Order;

/** Masks that returning proxies hold from an earlier run of the coordinator, or an earlier connection, are lifted. */
class StaleMaskTest {
    private static final int SLICES = 12;

    /** A coordinator that has just been started again, with s0, s1 and s2 in its list. */
    private final FakeHost host = new FakeHost(FakeHost.settings(SLICES, false, 0));

    @BeforeEach
    void restartWithThreeServers() {
        List<Event.Entry> known = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            known.add(FakeHost.entry("s" + i, Listed.READY, 0));
        }
        host.queue(new Event.ServerList(Event.ListKind.STALE_COPY, known));
    }

    private void giveAllSlices(String... servers) {
        for (int slice = 0; slice < SLICES; slice++) {
            host.give(slice, servers[slice % servers.length]);
        }
    }

    private void join(int proxy, boolean fresh) {
        host.queue(new Event.ProxyJoined(proxy, fresh, 1, 0));
    }

    private void passRounds(int count) {
        for (int round = 0; round < count; round++) {
            for (int i = 0; i < 3; i++) {
                host.sums("s" + i, 20, 0, 0.5);
            }
            host.run(1);
        }
    }

    /** Has both proxies join and serve until load is known. */
    private void startWithProxies(boolean fresh) {
        giveAllSlices("s0", "s1", "s2");
        join(0, fresh);
        join(1, fresh);
        passRounds(5);
    }

    private long masksOrdered() {
        return host.ordersOf(Order.Mask.class).size();
    }

    /** Guards against slices without a server after a restart: a server away at that time stayed masked for good. */
    @Test
    void serverListedOnlyAfterTheRestartIsUnmaskedAtReturningProxies() {
        host.masks.add("s3");
        startWithProxies(false);
        host.list("s3", Listed.READY, host.nowNs);
        host.run(1);
        assertFalse(host.masks.contains("s3"), "the earlier run's mask is still held");
    }

    /** Guards against the same mask where the list lacks the server and only lines of the store name it. */
    @Test
    void serverNamedByLinesOnlyIsUnmaskedOnceItIsListed() {
        host.masks.add("s3");
        join(0, false);
        join(1, false);
        giveAllSlices("s0", "s3");
        host.run(3);
        host.list("s3", Listed.READY, 0);
        host.run(3);
        assertFalse(host.masks.contains("s3"), "the earlier run's mask is still held");
    }

    /** Guards against the same mask at a proxy whose stream comes back only after the first rounds of sums. */
    @Test
    void proxyThatReturnsLateAfterARestartIsToldOfAllServers() {
        giveAllSlices("s0", "s1", "s2");
        join(0, false);
        passRounds(5);
        host.masks.add("s1");
        join(1, false);
        host.run(1);
        assertEquals(Set.of(), host.masks, "the returning proxy keeps a mask of the earlier run");
    }

    /** Guards against a proxy that left before it had applied the orders that lifted its masks. */
    @Test
    void proxyThatLeavesBeforeItAcknowledgesIsToldAgain() {
        host.stopAcknowledging();
        startWithProxies(false);
        host.queue(new Event.ProxyLeft(1));
        host.run(1);
        host.masks.add("s1");
        join(1, false);
        host.run(1);
        assertEquals(Set.of(), host.masks, "the orders that were lost are not repeated");
    }

    /** Guards against a server masked, or unmasked, while a proxy was away. */
    @Test
    void proxyThatWasAwayIsToldWhatChangedMeanwhileAndNoMore() {
        startWithProxies(false);
        host.list("s2", Listed.READY, host.nowNs);
        host.run(0.25);
        assertTrue(host.masks.contains("s2"), "a restarted server is masked until it is emptied");
        host.queue(new Event.ProxyLeft(1));
        host.run(3);
        assertEquals(Set.of(), host.masks);
        host.masks.add("s2");
        long before = masksOrdered();
        join(1, false);
        host.run(1);
        assertEquals(Set.of(), host.masks, "the mask was lifted while the proxy was away");
        assertEquals(before + 1, masksOrdered(), "of the other servers the proxy has acknowledged the state");
    }

    /**
     * Guards against servers that stay masked at a proxy which returned unnoticed, while news of it could not be had: the
     * orders that lifted the masks were lost, and the mark that is asked for again is acknowledged all the same.
     */
    @Test
    void proxyThatMayHaveReturnedUnnoticedIsToldAgain() {
        startWithProxies(true);
        host.list("s2", Listed.READY, host.nowNs);
        host.run(0.25);
        assertTrue(host.masks.contains("s2"), "a restarted server is masked until it is emptied");
        host.stopAcknowledging();
        host.run(3);
        assertEquals(Set.of(), host.masks);
        int lastMark =
                host.ordersOf(Order.Mark.class).get(host.pushes.size() - 1).number();
        host.masks.add("s2");
        long before = masksOrdered();
        host.queue(new Event.ProxyUncertain(1), new Event.InForce(1, lastMark, SECOND / 5));
        host.run(1);
        assertEquals(Set.of(), host.masks, "the orders that were lost are not repeated");
        assertEquals(before + 1, masksOrdered(), "of the other servers the proxy has acknowledged the state");
    }

    /** Where all proxies are fresh, no proxy holds an old mask, and a new server costs no order. */
    @Test
    void newServerCostsNoMaskOrderWhileAllProxiesAreFresh() {
        startWithProxies(true);
        host.list("s3", Listed.READY, host.nowNs - SECOND);
        host.run(1);
        assertEquals(0, masksOrdered());
    }
}
