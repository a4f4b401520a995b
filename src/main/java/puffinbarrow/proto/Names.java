package puffinbarrow.proto;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Gives texts that came before as the same String, without decoding them again. Direct mapped: a text that falls on a
 * taken place replaces what is there, so memory stays bounded whatever is sent.
 */
final class Names {
    /** Far above the servers of one fleet that a stream names in turn; a clash costs a decode only. */
    private static final int PLACES = 4096;
    /** Longer texts are messages, not ids; they are not kept. */
    private static final int LONGEST = 64;

    private final String[] kept = new String[PLACES];

    String read(ByteBuffer in, int length) throws CharacterCodingException {
        int start = in.position();
        if (length <= LONGEST) {
            int hash = length;
            for (int i = 0; i < length; i++) {
                hash = hash * 31 + in.get(start + i);
            }
            hash ^= hash >>> 15;
            String known = kept[hash & PLACES - 1];
            if (known != null && same(known, in, start, length)) {
                in.position(start + length);
                return known;
            }
            String read = decode(in, start, length);
            kept[hash & PLACES - 1] = read;
            return read;
        }
        return decode(in, start, length);
    }

    private static boolean same(String known, ByteBuffer in, int start, int length) {
        if (known.length() != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (known.charAt(i) != in.get(start + i)) {
                return false;
            }
        }
        return true;
    }

    private static String decode(ByteBuffer in, int start, int length) throws CharacterCodingException {
        ByteBuffer part = in.duplicate();
        part.limit(start + length).position(start);
        in.position(start + length);
        return StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
                .decode(part)
                .toString();
    }
}
