package puffinbarrow.config;

/** One mistake in a settings file. */
public record Problem(String file, int line, String text) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + text;
    }
}
