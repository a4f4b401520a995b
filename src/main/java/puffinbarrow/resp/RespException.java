package puffinbarrow.resp;

/** Bytes that are no message of the protocol, or one over its bounds; the stream they came on can't go on. */
public final class RespException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RespException(String message) {
        super(message);
    }
}
