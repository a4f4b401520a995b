package puffinbarrow.config;

/**
 * A mistake in a settings file or script.
 *
 * @param file name of the file or other source
 * @param line line number, from 1; 0: the complete file
 */
public record Problem(String file, int line, String text) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + text;
    }
}
