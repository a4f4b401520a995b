package puffinbarrow.resp;

/** Thrown on malformed RESP input or a message over its limits; the connection cannot be read any further. */
public final class RespException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RespException(String message) {
        super(message);
    }
}
