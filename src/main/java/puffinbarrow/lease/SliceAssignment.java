package puffinbarrow.lease;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Collection;
import java.util.TreeSet;

/**
 * Assigns slices to members by rendezvous hashing with bounded load. Every slice ranks the members by a hash of both
 * numbers and goes to the highest-ranked one below its load limit. The result depends only on the set of members, and a
 * member that joins or leaves moves few slices besides its own. Stateless; used by {@link Lease}
 * and {@link Simulation}.
 */
final class SliceAssignment {
    /**
     * A member's load limit as a multiple of the mean. A lower value balances better, but moves more slices that do not
     * belong to the member that joined or left.
     */
    static final double LOAD_LIMIT = 1.05;

    private static final Hasher64 HASH = Hashing.komihash5_0();

    private SliceAssignment() {}

    /** Returns the assigned member's number for each slice, or -1 for every slice if there are no members. */
    static int[] of(int slices, Collection<Integer> members) {
        int[] assignment = new int[slices];
        Arrays.fill(assignment, -1);
        if (members.isEmpty()) {
            return assignment;
        }
        int[] numbers =
                new TreeSet<>(members).stream().mapToInt(Integer::intValue).toArray();
        int limit = (int) Math.ceil(LOAD_LIMIT * slices / numbers.length);
        int[] assigned = new int[numbers.length];
        HashStream64 hash = HASH.hashStream();
        for (int slice = 0; slice < slices; slice++) {
            int best = -1;
            long bestRank = 0;
            for (int i = 0; i < numbers.length; i++) {
                long rank = hash.reset().putInt(slice).putInt(numbers[i]).getAsLong();
                if (assigned[i] < limit && (best < 0 || Long.compareUnsigned(rank, bestRank) > 0)) {
                    best = i;
                    bestRank = rank;
                }
            }
            assigned[best]++;
            assignment[slice] = numbers[best];
        }
        return assignment;
    }
}
