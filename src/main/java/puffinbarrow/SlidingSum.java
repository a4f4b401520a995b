package puffinbarrow;

/** A sum over a sliding time window, kept in a ring of buckets of fixed length. Not thread-safe. */
final class SlidingSum {
    private final double[] sums;
    /** For each place in the ring, the bucket (time divided by the bucket length) whose sum it holds. */
    private final long[] bucketNumbers;

    private final long bucketNs;

    SlidingSum(int buckets, long bucketNs) {
        sums = new double[buckets];
        bucketNumbers = new long[buckets];
        this.bucketNs = bucketNs;
    }

    void add(long atNs, double amount) {
        long bucket = atNs / bucketNs;
        int place = (int) Math.floorMod(bucket, (long) sums.length);
        if (bucketNumbers[place] != bucket) {
            bucketNumbers[place] = bucket;
            sums[place] = 0;
        }
        sums[place] += amount;
    }

    /** Returns the sum over the latest buckets, of which the current one, still filling, is the last. */
    double over(long nowNs, int buckets) {
        long newest = nowNs / bucketNs;
        double total = 0;
        for (int i = 0; i < sums.length; i++) {
            total += bucketNumbers[i] <= newest && bucketNumbers[i] > newest - buckets ? sums[i] : 0;
        }
        return total;
    }
}
