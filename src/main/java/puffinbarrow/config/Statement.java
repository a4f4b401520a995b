package puffinbarrow.config;

import java.util.List;

/**
 * A line of a settings file that is neither empty nor a comment, split into words.
 *
 * @param file name of the file or other source
 * @param line line number, from 1; of a continued line that of its first part
 * @param words the keyword and its arguments; never empty
 */
public record Statement(String file, int line, List<String> words) {
    public String keyword() {
        return words.get(0);
    }

    public List<String> arguments() {
        return words.subList(1, words.size());
    }

    public Problem problem(String text) {
        return new Problem(file, line, text);
    }
}
