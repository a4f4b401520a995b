package puffinbarrow.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads messages of RESP2 that are arrays of bulk strings, from whatever bytes came; a message is given out once it
 * is whole. No stated length is trusted: memory grows only with bytes that came, up to the limit on a message, which
 * the owner may change between messages. Anything else throws {@link RespException}, after which the stream is to be
 * closed. Not thread-safe: one for each stream, fed by that stream's reads.
 */
public final class RespReader {
    private enum At {
        ARRAY,
        LENGTH,
        BULK,
        BULK_END
    }

    /** The longest header line: a type, a length of ten digits, with room to say what it was instead. */
    private static final int LINE_BYTES = 16;
    /** Parts of a message; the longest the platform writes has some twenty. */
    private static final int PARTS = 1024;

    private final Consumer<List<String>> out;
    private int limit;
    private At at = At.ARRAY;
    private final byte[] line = new byte[LINE_BYTES];
    private int lineLength;
    private byte[] bulk = new byte[0];
    private int bulkAt;
    private int wanted;
    private int partsLeft;
    private int taken;
    private List<String> parts = List.of();

    public RespReader(int limit, Consumer<List<String>> out) {
        this.limit = limit;
        this.out = out;
    }

    public void limit(int bytes) {
        limit = bytes;
    }

    public void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            switch (at) {
                case ARRAY -> {
                    if (takeLine(in, '*')) {
                        begin(number());
                    }
                }
                case LENGTH -> {
                    if (takeLine(in, '$')) {
                        wanted = number();
                        if (wanted > limit - taken) {
                            throw new RespException("a message over " + limit + " bytes");
                        }
                        bulkAt = 0;
                        at = wanted == 0 ? At.BULK_END : At.BULK;
                    }
                }
                case BULK -> takeBulk(in);
                case BULK_END -> {
                    if (takeLine(in, '\r')) {
                        lineLength = 0;
                        part();
                    }
                }
            }
        }
    }

    private void begin(int count) {
        if (count > PARTS) {
            throw new RespException("a message of " + count + " parts");
        }
        partsLeft = count;
        taken = 0;
        parts = new ArrayList<>(Math.min(count, 32));
        at = count == 0 ? At.ARRAY : At.LENGTH;
        if (count == 0) {
            out.accept(List.of());
        }
    }

    private void part() {
        parts.add(new String(bulk, 0, wanted, StandardCharsets.UTF_8));
        if (bulk.length > 4096) {
            bulk = new byte[0];
        }
        at = At.LENGTH;
        if (--partsLeft == 0) {
            at = At.ARRAY;
            List<String> whole = parts;
            parts = List.of();
            out.accept(whole);
        }
    }

    /** A header line of that type, or with a carriage return the end of a bulk string; false: not all came yet. */
    private boolean takeLine(ByteBuffer in, char type) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (lineLength == 0 && b != type) {
                throw new RespException(
                        "expected '" + (type == '\r' ? "the end of a string" : type) + "', found byte " + (b & 0xff));
            }
            if (lineLength == LINE_BYTES || ++taken > limit) {
                throw new RespException("a header line without an end");
            }
            line[lineLength++] = b;
            if (b == '\n' && line[lineLength - 2] == '\r') {
                return true;
            }
        }
        return false;
    }

    /** The number of the header line that is whole. */
    private int number() {
        int value = 0;
        int digits = lineLength - 3;
        for (int i = 1; i <= digits; i++) {
            if (line[i] < '0' || line[i] > '9' || digits > 9) {
                throw new RespException("a length that is none");
            }
            value = value * 10 + line[i] - '0';
        }
        if (digits == 0) {
            throw new RespException("a length without digits");
        }
        lineLength = 0;
        return value;
    }

    private void takeBulk(ByteBuffer in) {
        int some = Math.min(in.remaining(), wanted - bulkAt);
        if (bulk.length < bulkAt + some) {
            bulk = Arrays.copyOf(bulk, Math.min(wanted, Math.max(bulkAt + some, bulk.length * 2)));
        }
        in.get(bulk, bulkAt, some);
        bulkAt += some;
        taken += some;
        at = bulkAt == wanted ? At.BULK_END : At.BULK;
    }
}
