package puffinbarrow.lease;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.TreeSet;

/**
 * Who should hold which slice: rendezvous hashing with bounded load. Every slice ranks the members by a hash of both
 * and goes to the first that has room; the same members give the same shares everywhere, and one more or less moves
 * little else than its own part.
 */
public final class Shares {
    /** Room above the even part: smaller is more even but moves more slices that none of the changed members held. */
    static final double ROOM = 1.05;

    private static final Hasher64 HASH = Hashing.komihash5_0();

    private Shares() {}

    /** Of each slice the member's number, or -1 where there is none. */
    public static int[] of(int slices, Collection<Integer> members) {
        int[] shares = new int[slices];
        java.util.Arrays.fill(shares, -1);
        if (members.isEmpty()) {
            return shares;
        }
        int[] numbers =
                new TreeSet<>(members).stream().mapToInt(Integer::intValue).toArray();
        int most = (int) Math.ceil(ROOM * slices / numbers.length);
        int[] held = new int[numbers.length];
        HashStream64 hash = HASH.hashStream();
        for (int slice = 0; slice < slices; slice++) {
            int best = -1;
            long rank = 0;
            for (int i = 0; i < numbers.length; i++) {
                long own = hash.reset().putInt(slice).putInt(numbers[i]).getAsLong();
                if (held[i] < most && (best < 0 || Long.compareUnsigned(own, rank) > 0)) {
                    best = i;
                    rank = own;
                }
            }
            held[best]++;
            shares[slice] = numbers[best];
        }
        return shares;
    }
}
