package puffinbarrow.wire;

/** Input that is not on the wire's terms; the message says what and in which batch. */
public final class MalformedBatch extends RuntimeException {
    public MalformedBatch(String what) {
        super(what);
    }
}
