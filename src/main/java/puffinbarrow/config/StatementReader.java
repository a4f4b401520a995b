package puffinbarrow.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads the line-based format of settings, scenarios, day scripts and experiments: each line is a keyword and its
 * arguments. {@code #} begins a comment, double quotes enclose a word with blanks (with the escapes {@code \"} and
 * {@code \\}), a backslash at the end of a line continues it on the next, and {@code include FILE} inserts another
 * file, whose path is relative to the including one. All mistakes are collected; none stops the reading. An instance
 * serves one call.
 */
public final class StatementReader {
    /** Deepest nesting of includes; a site, a role and a machine's own file need less, so more is a mistake. */
    private static final int MAX_INCLUDE_DEPTH = 8;

    private final List<Statement> statements = new ArrayList<>();
    private final List<Problem> problems;

    private StatementReader(List<Problem> problems) {
        this.problems = problems;
    }

    /** Returns the statements of the file and its includes, in order; mistakes are added to {@code problems}. */
    public static List<Statement> read(Path file, List<Problem> problems) {
        StatementReader reader = new StatementReader(problems);
        reader.readFile(file, new LinkedHashSet<>(), null);
        return reader.statements;
    }

    /** Returns the statements of the text; {@code name} is the file name given in problems. */
    public static List<Statement> parse(String name, String text, List<Problem> problems) {
        StatementReader reader = new StatementReader(problems);
        reader.parseText(name, null, text, new LinkedHashSet<>());
        return reader.statements;
    }

    /** @param include the statement that includes the file; null for the first file */
    private void readFile(Path file, Set<Path> open, Statement include) {
        Path absolute = file.toAbsolutePath().normalize();
        String name = file.toString();
        if (open.contains(absolute) || open.size() >= MAX_INCLUDE_DEPTH) {
            problems.add(include.problem(
                    open.contains(absolute)
                            ? "include cycle: " + name
                            : "include is nested over " + MAX_INCLUDE_DEPTH + " levels deep"));
            return;
        }
        String text;
        try {
            text = Files.readString(absolute, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            String message = "cannot read " + name + ": "
                    + failure.getClass().getSimpleName().replace("Exception", "");
            problems.add(include == null ? new Problem(name, 0, message) : include.problem(message));
            return;
        }
        open.add(absolute);
        parseText(name, absolute.getParent(), text, open);
        open.remove(absolute);
    }

    private void parseText(String name, Path folder, String text, Set<Path> open) {
        String[] rawLines = text.split("\n", -1);
        for (int i = 0; i < rawLines.length; i++) {
            int lineNumber = i + 1;
            String content =
                    rawLines[i].endsWith("\r") ? rawLines[i].substring(0, rawLines[i].length() - 1) : rawLines[i];
            while (content.endsWith("\\") && i + 1 < rawLines.length) {
                content = content.substring(0, content.length() - 1) + " " + rawLines[++i];
            }
            List<String> words = splitWords(name, lineNumber, content);
            if (words.isEmpty()) {
                continue;
            }
            Statement statement = new Statement(name, lineNumber, words);
            if (!statement.keyword().equals("include")) {
                statements.add(statement);
            } else if (words.size() != 2) {
                problems.add(
                        statement.problem("include: found " + (words.size() - 1) + " words, expected one file name"));
            } else {
                Path included = Path.of(words.get(1));
                readFile(
                        included.isAbsolute() || folder == null ? included : folder.resolve(included), open, statement);
            }
        }
    }

    private List<String> splitWords(String name, int line, String content) {
        List<String> words = new ArrayList<>();
        StringBuilder word = null;
        boolean quoted = false;
        for (int i = 0; i < content.length(); i++) {
            char c = content.charAt(i);
            if (quoted) {
                if (c == '\\' && i + 1 < content.length() && "\"\\".indexOf(content.charAt(i + 1)) >= 0) {
                    word.append(content.charAt(++i));
                } else if (c == '"') {
                    quoted = false;
                } else {
                    word.append(c);
                }
            } else if (c == '#') {
                break;
            } else if (c == '"') {
                quoted = true;
                word = word == null ? new StringBuilder() : word;
            } else if (c == ' ' || c == '\t') {
                if (word != null) {
                    words.add(word.toString());
                    word = null;
                }
            } else {
                word = word == null ? new StringBuilder() : word;
                word.append(c);
            }
        }
        if (quoted) {
            problems.add(new Problem(name, line, "a quote is not closed, expected \" before the end of the line"));
        }
        if (word != null) {
            words.add(word.toString());
        }
        return words;
    }
}
