package puffinbarrow.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An incremental HTTP/1.1 parser: it accepts bytes in pieces of any size and passes on complete messages. Heads are
 * limited in bytes, headers in number, and bodies (chunked ones too) in bytes; a message over a limit or with invalid
 * syntax throws {@link Malformed}, after which the connection is closed. Not thread-safe: each {@link Link} has its
 * own, fed by that link's reads.
 */
public final class HttpParser {
    /**
     * A complete message.
     *
     * @param first the method of a request, or the status code of a response
     * @param second the target of a request, or the reason phrase of a response
     * @param headers by name in lower case
     * @param body empty if there is none
     */
    public record Message(String first, String second, Map<String, String> headers, byte[] body) {
        /** Returns the value of a header, or an empty text; the name is in lower case. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Invalid syntax, or a message over one of the parser's limits. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1;

        Malformed(String message) {
            super(message);
        }
    }

    /** What the parser expects next. */
    private enum State {
        /** The start line of a message. */
        START,
        HEADER,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        /** The line end after a chunk. */
        CHUNK_END,
        TRAILER,
        /** A body that ends with the connection. */
        TO_CLOSE
    }

    /** Longest head in bytes: the usual limit of HTTP servers; the heads of flows take a few hundred bytes. */
    private static final int MAX_HEAD_BYTES = 8192;

    private static final int MAX_HEADERS = 64;

    private final boolean requests;
    private final int maxBodyBytes;
    private final Consumer<Message> messages;
    /** Receives body bytes as they arrive, for responses without an end; null: bodies are collected in memory. */
    private final Consumer<ByteBuffer> bodyPieces;

    private State state = State.START;
    /** The line read so far. Grows as needed, so that thousands of idle connections do not hold 8 KB each. */
    private byte[] line = new byte[128];

    private int lineLength;
    private int headLength;
    private String first;
    private String second;
    private Map<String, String> headers = new LinkedHashMap<>();
    private byte[] body = new byte[0];
    private int bodyLength;
    /** Bytes that the body, or the current chunk of it, still lacks. */
    private int remaining;

    /**
     * @param requests whether requests are parsed, or else responses
     * @param bodyBytes the largest body accepted
     * @param out receives each complete message
     */
    public HttpParser(boolean requests, int bodyBytes, Consumer<Message> out) {
        this(requests, bodyBytes, out, null);
    }

    /**
     * Creates a parser for a response whose body does not end: its bytes are passed to {@code pieces} as they arrive,
     * and {@code out} receives a message with an empty body if it ends after all. Any status but 2xx is refused.
     */
    public static HttpParser streaming(Consumer<Message> out, Consumer<ByteBuffer> pieces) {
        return new HttpParser(false, Integer.MAX_VALUE, out, pieces);
    }

    private HttpParser(boolean requests, int bodyBytes, Consumer<Message> out, Consumer<ByteBuffer> pieces) {
        this.bodyPieces = pieces;
        this.requests = requests;
        this.maxBodyBytes = bodyBytes;
        this.messages = out;
    }

    /** Returns whether the parser is between two messages. */
    public boolean idle() {
        return state == State.START && lineLength == 0;
    }

    /** Parses all bytes of the buffer; throws {@link Malformed} if they are not acceptable. */
    public void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            switch (state) {
                case BODY, CHUNK, TO_CLOSE -> readBody(in);
                default -> {
                    String text = readLine(in);
                    if (text != null) {
                        onLine(text);
                    }
                }
            }
        }
    }

    /** Handles the end of the connection by the peer, which ends a body without a stated length. */
    public void endOfInput() {
        if (state == State.TO_CLOSE) {
            emit(Arrays.copyOf(body, bodyLength));
        }
    }

    /** Reads up to the end of a line and returns the line, or returns null if its end has not arrived yet. */
    private String readLine(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (++headLength > MAX_HEAD_BYTES) {
                throw new Malformed("head over " + MAX_HEAD_BYTES + " bytes");
            }
            if (b == '\n') {
                int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
                String text = new String(line, 0, end, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                return text;
            }
            if (b == 0) {
                throw new Malformed("a NUL byte in the head");
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, Math.min(MAX_HEAD_BYTES, line.length * 2));
            }
            line[lineLength++] = b;
        }
        return null;
    }

    private void onLine(String text) {
        switch (state) {
            case START -> {
                if (!text.isEmpty()) {
                    startLine(text);
                    state = State.HEADER;
                }
            }
            case HEADER -> {
                if (text.isEmpty()) {
                    onHeadComplete();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                int semicolon = text.indexOf(';');
                remaining = length((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
                if (remaining + (long) bodyLength > maxBodyBytes) {
                    throw new Malformed("body over " + maxBodyBytes + " bytes");
                }
                headLength = 0;
                state = remaining == 0 ? State.TRAILER : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new Malformed("chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    emit(Arrays.copyOf(body, bodyLength));
                }
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void startLine(String text) {
        int firstSpace = text.indexOf(' ');
        int secondSpace = text.indexOf(' ', firstSpace + 1);
        if (firstSpace <= 0) {
            throw new Malformed("start line without spaces");
        }
        if (requests) {
            if (secondSpace < 0 || !text.startsWith("HTTP/1.", secondSpace + 1)) {
                throw new Malformed("not an HTTP/1 request");
            }
            first = text.substring(0, firstSpace);
            second = text.substring(firstSpace + 1, secondSpace);
        } else {
            if (!text.startsWith("HTTP/1.")) {
                throw new Malformed("not an HTTP/1 response");
            }
            first = secondSpace < 0 ? text.substring(firstSpace + 1) : text.substring(firstSpace + 1, secondSpace);
            second = secondSpace < 0 ? "" : text.substring(secondSpace + 1);
            if (first.length() != 3) {
                throw new Malformed("status code " + first);
            }
        }
    }

    private void header(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0 || text.charAt(0) == ' ' || text.charAt(0) == '\t') {
            throw new Malformed("header without a name");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String previous = headers.put(name, value);
        if (previous != null && name.equals("content-length") && !previous.equals(value)) {
            throw new Malformed("two different content-length headers");
        }
        if (headers.size() > MAX_HEADERS) {
            throw new Malformed("over " + MAX_HEADERS + " headers");
        }
    }

    private static int length(String text, int radix) {
        try {
            int length = Integer.parseInt(text, radix);
            if (length < 0 || text.startsWith("+")) {
                throw new Malformed("invalid length " + text);
            }
            return length;
        } catch (NumberFormatException wrong) {
            throw new Malformed("invalid length " + text);
        }
    }

    private void onHeadComplete() {
        headLength = 0;
        String coding = headers.getOrDefault("transfer-encoding", "");
        String length = headers.get("content-length");
        if (!coding.isEmpty()) {
            if (!coding.equalsIgnoreCase("chunked") || length != null) {
                throw new Malformed("unsupported transfer-encoding " + coding);
            }
            state = State.CHUNK_SIZE;
            return;
        }
        if (length != null) {
            remaining = length(length, 10);
            if (remaining > maxBodyBytes) {
                throw new Malformed("body over " + maxBodyBytes + " bytes");
            }
            body = new byte[bodyPieces == null ? remaining : 0];
            state = State.BODY;
            if (remaining == 0) {
                emit(body);
            }
            return;
        }
        boolean bodyless = requests || first.startsWith("1") || first.equals("204") || first.equals("304");
        if (bodyless) {
            emit(new byte[0]);
        } else {
            state = State.TO_CLOSE;
        }
    }

    private void readBody(ByteBuffer in) {
        int count = state == State.TO_CLOSE ? in.remaining() : Math.min(in.remaining(), remaining);
        if (bodyPieces != null) {
            if (!first.startsWith("2")) {
                throw new Malformed("status " + first + " " + second);
            }
            bodyPieces.accept(in.slice(in.position(), count));
            in.position(in.position() + count);
            remaining -= count;
            checkBodyComplete();
            return;
        }
        if (state != State.BODY) {
            if ((long) bodyLength + count > maxBodyBytes) {
                throw new Malformed("body over " + maxBodyBytes + " bytes");
            }
            if (body.length < bodyLength + count) {
                body = Arrays.copyOf(body, Math.max(bodyLength + count, body.length * 2));
            }
        }
        in.get(body, bodyLength, count);
        bodyLength += count;
        remaining -= count;
        checkBodyComplete();
    }

    private void checkBodyComplete() {
        if (state == State.BODY && remaining == 0) {
            emit(body);
        } else if (state == State.CHUNK && remaining == 0) {
            state = State.CHUNK_END;
        }
    }

    private void emit(byte[] completeBody) {
        Message message = new Message(first, second, headers, completeBody);
        headers = new LinkedHashMap<>();
        body = new byte[0];
        bodyLength = headLength = 0;
        state = State.START;
        messages.accept(message);
    }
}
