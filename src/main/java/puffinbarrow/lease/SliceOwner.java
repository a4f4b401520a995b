package puffinbarrow.lease;

/**
 * A slice's owner record in the store.
 *
 * @param owner the owner's member number, or -1 if the slice never had an owner
 * @param incarnation the owner's incarnation that acquired the slice
 * @param term the term of the ownership; it grows with each change of owner
 */
public record SliceOwner(int owner, long incarnation, long term) {
    /** The record of a slice that never had an owner. */
    static final SliceOwner NONE = new SliceOwner(-1, 0, 0);
}
