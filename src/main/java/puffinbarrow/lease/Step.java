package puffinbarrow.lease;

/** An action that {@link Lease} asks its caller to carry out, in the order returned. */
public sealed interface Step {
    /**
     * Writes a record to the store if its revision is still the expected one; 0 means that the record does not exist. A
     * write without an answer may be sent again under the same id; the store applies it at most once.
     */
    sealed interface Write extends Step {
        long id();

        long expected();
    }

    /** Writes a member record. */
    record WriteMember(long id, long expected, Member value) implements Write {}

    /** Writes a slice's owner record. */
    record WriteSliceOwner(long id, int slice, long expected, SliceOwner value) implements Write {}

    /** This member now owns the slice: orders for it may be sent under this term. */
    record OwnershipBegins(int slice, long term) implements Step {}

    /** This member no longer owns the slice: no more orders may be sent for it. */
    record OwnershipEnds(int slice, Why why) implements Step {}

    /** A leaving member no longer holds any slice. */
    record AllHandedOver() implements Step {}

    /** Why ownership of a slice ended. The names are the causes in the metric {@code lease.ended}. */
    enum Why {
        LAPSED,
        HANDED_ON,
        TAKEN_BY_ANOTHER
    }
}
