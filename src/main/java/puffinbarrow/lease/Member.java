package puffinbarrow.lease;

/**
 * A coordinator's record in the store. Its lease runs from one beat to the next. Settled: it has stood long enough to be
 * given charges. Flaps: short lives in a row, each of which makes the next wait longer. Dead: another has seen the lease
 * run out and closed the record; this life can beat no more.
 */
public record Member(
        int number, long incarnation, long beat, boolean settled, boolean leaving, int flaps, boolean dead) {
    Member closed() {
        return new Member(number, incarnation, beat, settled, leaving, flaps, true);
    }
}
