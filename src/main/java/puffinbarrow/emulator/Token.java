package puffinbarrow.emulator;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** A day's whole text as one word that can be passed on. */
public final class Token {
    /** A day of a few hundred lines is far below; more is no token of ours. */
    private static final int MOST_BYTES = 1 << 20;

    private Token() {}

    public static String of(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] some = new byte[4096];
        while (!deflater.finished()) {
            out.write(some, 0, deflater.deflate(some));
        }
        deflater.end();
        return Base64.getUrlEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    /** Null if it is no token. */
    public static String text(String token) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(Base64.getUrlDecoder().decode(token));
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] some = new byte[4096];
            while (!inflater.finished()) {
                int count = inflater.inflate(some);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary()) || out.size() > MOST_BYTES) {
                    return null;
                }
                out.write(some, 0, count);
            }
            return out.toString(StandardCharsets.UTF_8);
        } catch (IllegalArgumentException | DataFormatException none) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
