package puffinbarrow;

/** Sums over time in fixed buckets that are used again in a ring. */
final class Ring {
    private final double[] sum;
    private final long[] number;
    private final long bucketNs;

    Ring(int buckets, long bucketNs) {
        sum = new double[buckets];
        number = new long[buckets];
        this.bucketNs = bucketNs;
    }

    void add(long at, double amount) {
        long bucket = at / bucketNs;
        int place = (int) Math.floorMod(bucket, (long) sum.length);
        if (number[place] != bucket) {
            number[place] = bucket;
            sum[place] = 0;
        }
        sum[place] += amount;
    }

    /** What came in the latest buckets, the one of now among them. */
    double over(long at, int buckets) {
        long newest = at / bucketNs;
        double total = 0;
        for (int i = 0; i < sum.length; i++) {
            total += number[i] <= newest && number[i] > newest - buckets ? sum[i] : 0;
        }
        return total;
    }
}
