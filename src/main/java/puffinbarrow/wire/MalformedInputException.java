package puffinbarrow.wire;

/** Input or settings that do not follow the wire format; the message names the field and, for input, the batch. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** The message states what was expected and what was found. */
    public MalformedInputException(String message) {
        super(message);
    }
}
