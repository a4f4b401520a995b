package puffinbarrow.platform;

/** A message that is not on the platform's terms; the text says what was wanted and what was found. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
        super(message, null, false, false);
    }
}
