package puffinbarrow;

/**
 * Keeps the flows of a slice over a sliding window, and since when they are counted here. For a while after a slice was
 * given to this coordinator its sums cover less than the window, or nothing, and tell too little of its demand. Used by
 * {@link Logic} on its thread.
 */
final class SliceFlows {
    private static final long SECOND = 1_000_000_000L;

    private final int windowSeconds;
    private final SlidingSum flows;
    private long countedSinceNs = Long.MIN_VALUE / 2;

    /** @param windowSeconds window over which {@link #recent} sums */
    SliceFlows(int windowSeconds) {
        this.windowSeconds = windowSeconds;
        this.flows = new SlidingSum(windowSeconds, SECOND);
    }

    /** Records that the slice was given to this coordinator. */
    void begin(long nowNs) {
        countedSinceNs = nowNs;
    }

    void add(long nowNs, double count) {
        flows.add(nowNs, count);
    }

    /** Returns the flows reported within the window. */
    double recent(long nowNs) {
        return flows.over(nowNs, windowSeconds);
    }

    /**
     * Returns whether the reports received cover the window.
     *
     * @param reportDelayNs how old a report is at most when it comes
     */
    boolean coversWindow(long nowNs, long reportDelayNs) {
        return nowNs - countedSinceNs >= windowSeconds * SECOND + reportDelayNs;
    }
}
