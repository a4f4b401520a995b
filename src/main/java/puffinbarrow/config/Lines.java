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
 * Reads the line-based format that all our files share: a keyword and its words on each line, {@code #} begins a
 * comment, double quotes hold a word with blanks (with {@code \"} and {@code \\}), a backslash at the end joins the
 * next line, {@code include FILE} reads another file in its place, found beside the one that names it. All mistakes
 * are collected; none stops the reading.
 */
public final class Lines {
    /** Deep enough for a site, a role and a machine's own file; a chain of includes beyond it is a mistake. */
    private static final int DEEPEST = 8;

    private final List<Statement> statements = new ArrayList<>();
    private final List<Problem> problems;

    private Lines(List<Problem> problems) {
        this.problems = problems;
    }

    public static List<Statement> read(Path file, List<Problem> problems) {
        Lines lines = new Lines(problems);
        lines.file(file, new LinkedHashSet<>(), null);
        return lines.statements;
    }

    public static List<Statement> parse(String name, String text, List<Problem> problems) {
        Lines lines = new Lines(problems);
        lines.text(name, null, text, new LinkedHashSet<>());
        return lines.statements;
    }

    private void file(Path file, Set<Path> open, Statement from) {
        Path whole = file.toAbsolutePath().normalize();
        String name = file.toString();
        if (open.contains(whole) || open.size() >= DEEPEST) {
            problems.add(from.problem(
                    open.contains(whole)
                            ? "include goes round in a circle: " + name
                            : "include is nested over " + DEEPEST + " deep"));
            return;
        }
        String text;
        try {
            text = Files.readString(whole, StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            String why = "cannot read " + name + ": "
                    + unreadable.getClass().getSimpleName().replace("Exception", "");
            problems.add(from == null ? new Problem(name, 0, why) : from.problem(why));
            return;
        }
        open.add(whole);
        text(name, whole.getParent(), text, open);
        open.remove(whole);
    }

    private void text(String name, Path folder, String text, Set<Path> open) {
        String[] rows = text.split("\n", -1);
        for (int i = 0; i < rows.length; i++) {
            int first = i + 1;
            String row = rows[i].endsWith("\r") ? rows[i].substring(0, rows[i].length() - 1) : rows[i];
            while (row.endsWith("\\") && i + 1 < rows.length) {
                row = row.substring(0, row.length() - 1) + " " + rows[++i];
            }
            List<String> words = words(name, first, row);
            if (words.isEmpty()) {
                continue;
            }
            Statement statement = new Statement(name, first, words);
            if (!statement.keyword().equals("include")) {
                statements.add(statement);
            } else if (words.size() != 2) {
                problems.add(
                        statement.problem("include: found " + (words.size() - 1) + " words, expected one file name"));
            } else {
                Path other = Path.of(words.get(1));
                file(other.isAbsolute() || folder == null ? other : folder.resolve(other), open, statement);
            }
        }
    }

    private List<String> words(String name, int line, String row) {
        List<String> words = new ArrayList<>();
        StringBuilder word = null;
        boolean quoted = false;
        for (int i = 0; i < row.length(); i++) {
            char c = row.charAt(i);
            if (quoted) {
                if (c == '\\' && i + 1 < row.length() && "\"\\".indexOf(row.charAt(i + 1)) >= 0) {
                    word.append(row.charAt(++i));
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
