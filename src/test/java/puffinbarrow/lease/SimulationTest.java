package puffinbarrow.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Random troubles against the lease core, and the same with one guard left out, which must show. */
class SimulationTest {
    private static final long LEASE = 1_500_000_000L;

    private static Simulation.Plan plan(long seed) {
        return Simulation.plan(seed, 3 + (int) (seed % 3), 24, LEASE, 60 * LEASE, 0.05, false);
    }

    @Test
    void clocksThatJumpBreakNeitherTermsNorTheFence() {
        for (long seed = 1; seed <= 8; seed++) {
            assertNull(
                    Simulation.run(Simulation.plan(seed, 4, 24, LEASE, 60 * LEASE, 0.05, true))
                            .broken(),
                    "seed " + seed);
        }
    }

    @Test
    void noTroubleMakesTwoVoicesAndAllHeals() {
        long steps = 0;
        for (long seed = 1; steps < 300_000; seed++) {
            Simulation.Outcome outcome = Simulation.run(plan(seed));
            if (outcome.broken() != null) {
                Simulation.Plan least = Simulation.shrink(plan(seed));
                assertNull(outcome.broken(), "seed " + seed + ", least faults " + least.faults());
            }
            steps += outcome.steps();
        }
    }

    @Test
    void theSamePlanGivesTheSameRun() {
        Simulation.Outcome a = Simulation.run(plan(9));
        Simulation.Outcome b = Simulation.run(plan(9));
        assertEquals(
                List.of(a.steps(), a.writes(), a.moves(), a.refused()),
                List.of(b.steps(), b.writes(), b.moves(), b.refused()));
        assertTrue(a.refused() > 0, "old orders came and were refused");
    }

    @ParameterizedTest
    @EnumSource(Lease.Guard.class)
    void withoutAGuardItBreaks(Lease.Guard guard) {
        assertNotNull(firstBroken(Set.of(guard), true), guard + " was left out and nothing showed");
    }

    @Test
    void withoutTheFenceOldOrdersTakeEffect() {
        String broken = firstBroken(Set.of(), false);
        assertNotNull(broken);
        assertTrue(broken.contains("a proxy takes an order of term"), broken);
    }

    private static String firstBroken(Set<Lease.Guard> without, boolean fenced) {
        for (long seed = 1; seed <= 300; seed++) {
            String broken = Simulation.run(plan(seed), without, fenced).broken();
            if (broken != null) {
                return broken;
            }
        }
        return null;
    }
}
