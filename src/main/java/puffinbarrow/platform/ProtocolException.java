package puffinbarrow.platform;

/**
 * Thrown when a message or a configuration violates the platform's protocol. The message states what was expected
 * and what was found; it has no stack trace, since it is thrown for every bad message of a peer.
 */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
        super(message, null, false, false);
    }
}
