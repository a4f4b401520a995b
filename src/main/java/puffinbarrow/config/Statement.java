package puffinbarrow.config;

import java.util.List;

/** One line of a settings file that says something: its words, and where it stands. */
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
