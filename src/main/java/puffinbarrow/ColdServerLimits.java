package puffinbarrow;

/**
 * Bounds the load of servers that have just started, which collapse when they are sent a multiple of what they can do.
 * Loads are relative: 1 is the mean of the fleet, per present capacity. Used by {@link Logic} on its thread.
 *
 * <p>Two bounds apply. The demand that is known of a server's slices stays below {@link #loadLimit}. And where another
 * server can take a slice, a cold one gets it only with room for a burst ({@link #prefersLoaded}): a single key can
 * multiply the demand of its slice at any moment, and the server collapses before the next sums show it.
 */
final class ColdServerLimits {
    /** What one slice may come to draw at any moment, in mean servers' worth; hot slices get primaries for as much. */
    private static final double BURST_SERVERS = 2;
    /** Share of the fall multiple that a burst may use up; the rest is for chance within the short span that counts. */
    private static final double BURST_MARGIN = 0.8;
    /** Up to here a warm server answers in time. */
    private static final double MAX_UTILIZATION = 0.8;
    /** Up to here a warm server is preferred to a cold one that has only just no room for a burst. */
    private static final double EASY_UTILIZATION = 0.4;
    /** Utilization at the highest calm load where reports do not tell it: some room is left in calm times. */
    private static final double ASSUMED_CALM_UTILIZATION = 0.7;
    /** Fall multiple from which a cold server may be given as much as the mean: known demand uses up 0.4 of it. */
    private static final double FULL_LOAD_FALL_MULTIPLE = 2.5;
    /** Below this share of the complete fleet the present load is not calm, even if few flows are dropped. */
    private static final double MIN_CALM_FLEET_SHARE = 0.4;

    /**
     * The servers in use at a decision.
     *
     * @param demand demand of the owned slices
     * @param capacity capacity at the present warmth
     * @param completeSize size of the complete fleet
     * @param servers number of servers; above 0 if the capacity is
     * @param utilization share of the present capacity in use, 0 to 1, by the servers' reports; NaN if none has it
     */
    record Fleet(double demand, double capacity, double completeSize, int servers, double utilization) {}

    private final double fallMultiple;
    private Fleet fleet = new Fleet(0, 0, 0, 0, Double.NaN);
    /** The highest demand per usable capacity seen while the fleet was not overloaded. */
    private double calmLoad;
    /** The highest demand per size of the complete fleet seen while the fleet was not overloaded. */
    private double calmLoadWholeFleet;

    /** @param fallMultiple multiple of its present capacity at which a server collapses */
    ColdServerLimits(double fallMultiple) {
        this.fallMultiple = fallMultiple;
    }

    /** Sets the fleet that the limits refer to from now on. */
    void update(Fleet present) {
        fleet = present;
    }

    /** Records that the present fleet is not overloaded. */
    void recordCalm() {
        if (fleet.capacity() > 0) {
            raiseCalmLoad(fleet.demand() / fleet.capacity());
            raiseCalmLoadWholeFleet(fleet.demand() / fleet.completeSize());
        }
    }

    /** Raises the highest calm load per usable capacity to this value, unless it is higher already. */
    void raiseCalmLoad(double load) {
        calmLoad = Math.max(calmLoad, load);
    }

    /** Raises the highest calm load per size of the complete fleet to this value, unless it is higher already. */
    void raiseCalmLoadWholeFleet(double load) {
        calmLoadWholeFleet = Math.max(calmLoadWholeFleet, load);
    }

    double calmLoad() {
        return calmLoad;
    }

    double calmLoadWholeFleet() {
        return calmLoadWholeFleet;
    }

    /**
     * Returns the highest relative load that a cold server may be given, 0 to 1. When demand is a multiple of the
     * highest calm load, the limit shrinks so that the server stays below 0.4 of the load that would make it collapse,
     * as keys it has not seen cost it more and it may be slower than its listed size suggests.
     */
    double loadLimit() {
        return Math.min(1, fallMultiple / FULL_LOAD_FALL_MULTIPLE / calmMultiple());
    }

    /** Returns the demand as a multiple of the highest calm load, at least 1. */
    private double calmMultiple() {
        // With few of the fleet left, the reference is taken over the size of the full fleet. Where most servers were
        // removed for good, this makes the limit lower than necessary.
        double calm = fleet.capacity() < MIN_CALM_FLEET_SHARE * fleet.completeSize() ? calmLoadWholeFleet : calmLoad;
        return calm <= 0 ? 1 : Math.max(1, fleet.demand() / fleet.capacity() / calm);
    }

    /**
     * Returns the load that a server has if one of its slices becomes hot, as a share of what it bears; up to 1 it has
     * room for that.
     *
     * @param relativeLoad its load with the slices that it is to have
     * @param capacity its present capacity; above 0
     */
    double burstShare(double relativeLoad, double capacity) {
        double burst = BURST_SERVERS * fleet.capacity() / Math.max(1, fleet.servers()) / capacity;
        return utilization(relativeLoad + burst, 1) / (BURST_MARGIN * fallMultiple);
    }

    /**
     * Returns whether a slice is better off on a server with room for a burst than on a cold one without. The less room
     * the cold one has, the more load the other one may have.
     *
     * @param burstShare share of what it bears that a burst uses up at the cold server
     * @param relativeLoad load of the other server with the slice
     */
    boolean prefersLoaded(double burstShare, double relativeLoad) {
        double bound = Math.min(MAX_UTILIZATION, EASY_UTILIZATION * burstShare);
        return burstShare > 1 && utilization(relativeLoad, ASSUMED_CALM_UTILIZATION) <= bound;
    }

    /**
     * Returns the utilization of a server with this relative load.
     *
     * @param calmUtilization what to take for the fleet's utilization at the highest calm load if reports do not tell it
     */
    private double utilization(double relativeLoad, double calmUtilization) {
        boolean known = !Double.isNaN(fleet.utilization());
        return relativeLoad * (known ? fleet.utilization() : calmMultiple() * calmUtilization);
    }
}
