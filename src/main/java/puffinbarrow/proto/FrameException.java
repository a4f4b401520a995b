package puffinbarrow.proto;

/** A frame that cannot be decoded. The connection it came on is refused, and a counter for the cause is incremented. */
public final class FrameException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** What was wrong; each cause is a label value of the counter {@code frames.refused}. */
    public enum Cause {
        OVERSIZED,
        CHECKSUM,
        VERSION,
        UNKNOWN_TYPE,
        MALFORMED
    }

    private final Cause cause;

    public FrameException(Cause cause, String message) {
        super(message, null, false, false);
        this.cause = cause;
    }

    public Cause why() {
        return cause;
    }
}
