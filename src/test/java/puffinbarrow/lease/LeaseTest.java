package puffinbarrow.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import puffinbarrow.lease.Simulation.Fault;
import puffinbarrow.lease.Simulation.Kind;

/** Short stories for the lease core: shares, a lease that lapses, and the hard cases as plans of their own. */
class LeaseTest {
    private static final long MS = 1_000_000;
    private static final long LEASE = 1500 * MS;

    private static Lease lease() {
        return new Lease(new Lease.Settings(0, 4, LEASE, 10), 100);
    }

    private static <T extends Step> List<T> only(Class<T> kind, List<Step> steps) {
        return steps.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Answers each write as a store would that only this member writes to, until nothing is asked. */
    private static List<Step> serve(Lease lease, long now, List<Step> steps, long[] revision) {
        List<Step> all = new ArrayList<>(steps);
        List<Step> open = steps;
        while (!open.isEmpty()) {
            List<Step> next = new ArrayList<>();
            for (Step step : open) {
                if (step instanceof Step.WriteMember w) {
                    next.addAll(lease.member(now, ++revision[0], w.value()));
                    next.addAll(lease.answered(now, w.id(), true));
                } else if (step instanceof Step.WriteVoice w) {
                    next.addAll(lease.voice(now, w.slice(), ++revision[0], w.value()));
                    next.addAll(lease.answered(now, w.id(), true));
                }
            }
            all.addAll(next);
            open = next;
        }
        return all;
    }

    @Test
    void aLoneMemberWaitsOneLeaseTakesAllAndFallsSilentBeforeItsLeaseEnds() {
        Lease lease = lease();
        long[] revision = {0};
        serve(lease, 0, lease.connected(0), revision);
        assertEquals(
                1,
                only(Step.WriteMember.class, serve(lease, 0, lease.synced(0), revision))
                        .size());
        List<Step> all = new ArrayList<>();
        long now = 0;
        for (; now <= 2 * LEASE; now += 75 * MS) {
            all.addAll(serve(lease, now, lease.tick(now), revision));
            assertTrue(now >= LEASE || only(Step.Begin.class, all).isEmpty(), "before a lease has passed");
        }
        assertEquals(4, only(Step.Begin.class, all).size());
        assertEquals(1, lease.term(3));
        long until = lease.speakUntilNs();
        // The store is gone: no beat is answered.
        assertEquals(List.of(), only(Step.End.class, lease.disconnected(now)));
        assertEquals(List.of(), only(Step.End.class, lease.tick(until - 1)));
        List<Step.End> ends = only(Step.End.class, lease.tick(until));
        assertEquals(4, ends.size());
        assertEquals(Step.Why.LAPSED, ends.get(0).why());
        assertEquals(101, lease.incarnation());
    }

    @Test
    void aBeatWhoseAnswerWasLostCountsFromItsFirstSending() {
        Lease lease = lease();
        lease.connected(0);
        Step.WriteMember first = only(Step.WriteMember.class, lease.synced(0)).get(0);
        Step.WriteMember again =
                only(Step.WriteMember.class, lease.tick(400 * MS)).get(0);
        assertEquals(first, again);
        lease.member(500 * MS, 1, first.value());
        assertEquals(LEASE - LEASE / 10, lease.speakUntilNs());
    }

    @Test
    void aLaterTermToldByAProxySilencesTheSliceAtOnce() {
        Lease lease = lease();
        long[] revision = {0};
        lease.connected(0);
        serve(lease, 0, lease.synced(0), revision);
        for (long now = 0; now <= 2 * LEASE; now += 75 * MS) {
            serve(lease, now, lease.tick(now), revision);
        }
        assertEquals(List.of(), lease.toldStale(2 * LEASE, 2, 1), "its own term is no news");
        assertEquals(List.of(new Step.End(2, Step.Why.TAKEN_BY_ANOTHER)), lease.toldStale(2 * LEASE, 2, 2));
        assertTrue(!lease.speaks(2) && lease.speaks(1));
    }

    @Test
    void sharesAreEvenAndOneMoreMovesLittleElseThanItsPart() {
        List<Integer> five = IntStream.range(0, 5).boxed().toList();
        int[] before = Shares.of(10_000, five);
        int[] counts = new int[5];
        IntStream.of(before).forEach(m -> counts[m]++);
        assertTrue(IntStream.of(counts).max().orElse(0) <= 2100, "within the room of 5%");
        int[] after = Shares.of(10_000, IntStream.range(0, 6).boxed().toList());
        long moved =
                IntStream.range(0, 10_000).filter(i -> before[i] != after[i]).count();
        assertTrue(moved < 1.2 * 10_000 / 6, moved + " moved, a sixth would do");
        assertEquals(-1, Shares.of(3, List.of())[0]);
    }

    private static Simulation.Outcome play(int members, long lengthLeases, Fault... faults) {
        Simulation.Outcome outcome = Simulation.run(
                new Simulation.Plan(3, members, 40, 3, LEASE, lengthLeases * LEASE, 0.05, false, List.of(faults)));
        assertNull(outcome.broken());
        return outcome;
    }

    @Test
    void aColdStartSharesOnceAndADeathIsTakenOverWithinTwoLeases() {
        assertEquals(40, play(3, 10).moves());
        Simulation.Outcome killed = play(3, 40, new Fault(Kind.KILL, 20 * LEASE, 15 * LEASE, 1));
        assertTrue(
                killed.silentMs().getMaxValue() < 2 * LEASE / MS,
                "silent for " + killed.silentMs().getMaxValue());
        // Away and back: its third twice, and little else.
        assertTrue(killed.moves() <= 40 + 2 * 15 + 8, "" + killed.moves());
    }

    @Test
    void aPauseInTheMiddleOfAPushIsFenced() {
        Simulation.Outcome paused = play(3, 60, new Fault(Kind.PAUSE, 10 * LEASE, 20 * LEASE, 0));
        assertTrue(paused.refused() > 0, "its full queue left upon waking");
        assertTrue(paused.silentMs().getTotalCount() > 0, "others spoke meanwhile");
    }

    @Test
    void splitsInWhichBothBelieveToLeadLeaveOneVoice() {
        play(
                3,
                60,
                new Fault(Kind.CUT, 10 * LEASE, 6 * LEASE, 0),
                new Fault(Kind.CUT, 11 * LEASE, 9 * LEASE, 1),
                new Fault(Kind.STORE_SLOW, 12 * LEASE, 5 * LEASE, 0),
                new Fault(Kind.ANSWERS_LOST, 20 * LEASE, 9 * LEASE, 2));
        Simulation.Outcome down = play(4, 40, new Fault(Kind.STORE_DOWN, 10 * LEASE, 2 * LEASE, 0));
        assertTrue(down.silentMs().getTotalCount() >= 40, "all leases ran out");
    }

    @Test
    void oneThatComesAndGoesIsNotGivenChargesAtOnce() {
        Fault[] flaps = new Fault[6];
        for (int i = 0; i < flaps.length; i++) {
            flaps[i] = new Fault(Kind.FLAP, (10 + 4 * i) * LEASE, 0, 2);
        }
        Simulation.Outcome outcome = play(3, 40, flaps);
        // Its third goes once and comes back once, though it joined two dozen times.
        assertTrue(outcome.moves() <= 40 + 2 * 15 + 8, "" + outcome.moves());
    }

    @Test
    void aMemberThatLeavesHandsAllOnWithoutWaitingForALease() {
        Simulation.Outcome left = play(3, 30, new Fault(Kind.LEAVE, 10 * LEASE, 0, 1));
        assertTrue(
                left.silentMs().getMaxValue() < LEASE / 4 / MS,
                "silent for " + left.silentMs().getMaxValue());
    }
}
