package puffinbarrow.lease;

/** A slice's record in the store: who speaks for it, in which life, under which term. Terms only grow. */
public record Voice(int owner, long incarnation, long term) {
    /** Never held. */
    static final Voice NONE = new Voice(-1, 0, 0);
}
