package puffinbarrow.platform;

/** A message that is not on the platform's terms; the text says what was wanted and what was found. */
final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1;

    Refused(String message) {
        super(message, null, false, false);
    }
}
