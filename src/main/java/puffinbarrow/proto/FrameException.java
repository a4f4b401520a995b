package puffinbarrow.proto;

/** A frame that cannot be read. The cause names its counter; the stream it came on ends. */
public final class FrameException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** One counter each. */
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
