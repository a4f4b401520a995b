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

/** Random faults in {@link Simulation} cause no violation, and do cause one with any single guard disabled. */
class SimulationTest {
    private static final long LEASE = 1_500_000_000L;

    private static Simulation.Plan plan(long seed) {
        return Simulation.plan(seed, 3 + (int) (seed % 3), 24, LEASE, 60 * LEASE, 0.05, false);
    }

    @Test
    void clockJumpsViolateNeitherTermOrderNorFencing() {
        for (long seed = 1; seed <= 8; seed++) {
            assertNull(
                    Simulation.run(Simulation.plan(seed, 4, 24, LEASE, 60 * LEASE, 0.05, true))
                            .violation(),
                    "seed " + seed);
        }
    }

    @Test
    void randomFaultsNeverGiveTwoOwnersAndAllSlicesRecover() {
        long steps = 0;
        for (long seed = 1; steps < 300_000; seed++) {
            Simulation.Outcome outcome = Simulation.run(plan(seed));
            if (outcome.violation() != null) {
                Simulation.Plan smallest = Simulation.shrink(plan(seed));
                assertNull(outcome.violation(), "seed " + seed + ", smallest set of faults " + smallest.faults());
            }
            steps += outcome.steps();
        }
    }

    @Test
    void samePlanGivesSameRun() {
        Simulation.Outcome first = Simulation.run(plan(9));
        Simulation.Outcome second = Simulation.run(plan(9));
        assertEquals(
                List.of(first.steps(), first.writes(), first.ownerChanges(), first.refused()),
                List.of(second.steps(), second.writes(), second.ownerChanges(), second.refused()));
        assertTrue(first.refused() > 0, "late orders of old terms arrive and are refused");
    }

    @ParameterizedTest
    @EnumSource(Lease.Guard.class)
    void eachDisabledGuardCausesAViolation(Lease.Guard guard) {
        assertNotNull(firstViolation(Set.of(guard), true), guard + " was disabled and no violation was found");
    }

    @Test
    void withoutFencingOldOrdersTakeEffect() {
        String violation = firstViolation(Set.of(), false);
        assertNotNull(violation);
        assertTrue(violation.contains("a proxy takes an order of term"), violation);
    }

    private static String firstViolation(Set<Lease.Guard> disabledGuards, boolean fencing) {
        for (long seed = 1; seed <= 300; seed++) {
            String violation =
                    Simulation.run(plan(seed), disabledGuards, fencing).violation();
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }
}
