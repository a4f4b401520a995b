package puffinbarrow.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What reports may be about; guards against a proxy that fills the memory with sums about ever new servers. */
class ReportSubjectsTest {
    private final ReportSubjects subjects = new ReportSubjects(30);

    @Test
    void acceptsKnownServersHoweverManyOthersAreReported() {
        long accepted = IntStream.range(0, 100_000)
                .filter(i -> subjects.acceptsSums(0, "invented-" + i))
                .count();
        assertEquals(100, accepted);
        assertFalse(subjects.acceptsSums(0, "s1"));
        subjects.addKnownServer("s1");
        assertTrue(subjects.acceptsSums(0, "s1"));
        assertTrue(subjects.acceptsSums(0, "invented-0"), "one accepted before goes on to be");
    }

    @Test
    void refusesZonesSlicesAndGroupsThatCannotExist() {
        subjects.addKnownServer("s1");
        assertFalse(subjects.acceptsSums(64, "s1"));
        assertFalse(subjects.acceptsSums(-1, "s1"));
        assertTrue(subjects.acceptsDemand(29, 29));
        assertFalse(subjects.acceptsDemand(30, 0));
        assertFalse(subjects.acceptsDemand(-1, 0));
        assertFalse(subjects.acceptsDemand(0, 30));
        assertTrue(new ReportSubjects(0).acceptsDemand(-1, 0), "a proxy's demand as a whole");
    }
}
