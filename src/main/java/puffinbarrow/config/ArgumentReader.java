package puffinbarrow.config;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Reads the arguments of one statement in order. A mistake is added to the problems with its line and what was
 * expected, and the method returns a valid substitute, so that one pass finds the mistakes of all statements; only the
 * first mistake of a statement is reported. Not thread-safe; each parser uses an instance for each statement.
 */
public final class ArgumentReader {
    private final Statement statement;
    private final List<Problem> problems;
    /** Index of the next word; the keyword has index 0. */
    private int next = 1;
    /** No mistake has been found in the statement so far. */
    private boolean valid = true;

    public ArgumentReader(Statement statement, List<Problem> problems) {
        this.statement = statement;
        this.problems = problems;
    }

    /** Returns whether there are words left. */
    public boolean hasMore() {
        return next < statement.words().size();
    }

    /** Returns whether no mistake has been found in the statement so far. */
    public boolean valid() {
        return valid;
    }

    /** Reports a mistake, unless an earlier one of the same statement was reported. */
    public void reportMistake(String found, String expected) {
        if (valid) {
            problems.add(statement.problem(statement.keyword() + ": found " + found + ", expected " + expected));
        }
        valid = false;
    }

    /** Reports a keyword that is none of these, and skips the remaining words. */
    public void reportUnknownKeyword(List<String> keywords) {
        String suggestion = nearest(statement.keyword(), keywords);
        problems.add(statement.problem("unknown keyword '" + statement.keyword() + "', expected one of "
                + String.join(", ", keywords) + (suggestion == null ? "" : " (did you mean " + suggestion + "?)")));
        next = statement.words().size();
    }

    /** Returns the next word; empty if there is none. */
    public String text(String expected) {
        if (!hasMore()) {
            reportMistake("the end of the line", expected);
            return "";
        }
        return statement.words().get(next++);
    }

    /** Consumes the next word if it is the given one, and returns whether it was. */
    public boolean takeIfNext(String word) {
        if (hasMore() && statement.words().get(next).equals(word)) {
            next++;
            return true;
        }
        return false;
    }

    /** Consumes the next word, which must be the given one. */
    public void expect(String word) {
        if (!takeIfNext(word)) {
            reportMistake(hasMore() ? quote(statement.words().get(next)) : "the end of the line", quote(word));
        }
    }

    /** Returns the next word, which must be one of these; the first of them after a mistake. */
    public String oneOf(String... words) {
        String word = text("one of " + String.join(", ", words));
        if (valid && !List.of(words).contains(word)) {
            String suggestion = nearest(word, List.of(words));
            reportMistake(
                    quote(word),
                    "one of " + String.join(", ", words)
                            + (suggestion == null ? "" : " (did you mean " + suggestion + "?)"));
        }
        return valid ? word : words[0];
    }

    /** Returns the next word as a number from {@code least} to {@code most}; {@code least} after a mistake. */
    public double number(String what, double least, double most) {
        String word = text(what);
        try {
            double value = Double.parseDouble(word);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, as a number out of range is.
        }
        reportMistake(quote(word), what + " from " + plain(least) + " to " + plain(most));
        return least;
    }

    /** Returns the next word as an integer from {@code least} to {@code most}; {@code least} after a mistake. */
    public long integer(String what, long least, long most) {
        String word = text(what);
        try {
            long value = Long.parseLong(word);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below.
        }
        reportMistake(quote(word), what + ", a whole number from " + least + " to " + most);
        return least;
    }

    /** Returns the next word as a share from 0 to 1, written {@code 0.25} or {@code 25%}; 1 after a mistake. */
    public double share(String what) {
        String word = text(what);
        try {
            double value = word.endsWith("%")
                    ? Double.parseDouble(word.substring(0, word.length() - 1)) / 100
                    : Double.parseDouble(word);
            if (value >= 0 && value <= 1) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below.
        }
        reportMistake(quote(word), what + ", a share such as 0.25 or 25%");
        return 1;
    }

    /** Returns a time such as 250us, 20ms, 1.5s, 2m or 1h, in nanoseconds; 1 after a mistake. */
    public long durationNs(String what) {
        String word = text(what);
        long value = nanos(word);
        if (value < 0) {
            reportMistake(quote(word), what + ", a time such as 20ms, 1.5s or 2m");
            return 1;
        }
        return value;
    }

    /** Returns -1 if the word is not a time. */
    private static long nanos(String word) {
        String[] units = {"ns", "us", "ms", "s", "m", "h"};
        double[] unitNs = {1, 1e3, 1e6, 1e9, 60e9, 3600e9};
        for (int i = 0; i < units.length; i++) {
            if (word.endsWith(units[i]) && word.length() > units[i].length()) {
                try {
                    double value = Double.parseDouble(word.substring(0, word.length() - units[i].length()));
                    return value >= 0 && value * unitNs[i] < 9e18 ? Math.round(value * unitNs[i]) : -1;
                } catch (NumberFormatException unitEndsAlike) {
                    continue;
                }
            }
        }
        return -1;
    }

    /** Returns a size such as 512, 64k, 4m or 1g, in bytes; 1 after a mistake. */
    public long sizeBytes(String what) {
        String word = text(what).toLowerCase(Locale.ROOT);
        int shift = word.endsWith("k") ? 10 : word.endsWith("m") ? 20 : word.endsWith("g") ? 30 : 0;
        try {
            long value = Long.parseLong(shift > 0 ? word.substring(0, word.length() - 1) : word);
            if (value > 0 && value < 1L << 32) {
                return value << shift;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below.
        }
        reportMistake(quote(word), what + ", a size such as 64k or 4m");
        return 1;
    }

    /** Returns HOST:PORT; the host is {@code localhost} or an IP address, so that no name is ever resolved. */
    public InetSocketAddress address(String what) {
        String word = text(what);
        int colon = word.lastIndexOf(':');
        try {
            String host = word.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
            int port = Integer.parseInt(word.substring(colon + 1));
            boolean literal = host.equals("localhost") || host.matches("[0-9.]+") || host.indexOf(':') >= 0;
            if (colon > 0 && literal && port >= 0 && port < 65536) {
                InetSocketAddress address = new InetSocketAddress(host, port);
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        } catch (NumberFormatException notANumber) {
            // Reported below.
        }
        reportMistake(quote(word), what + " as ADDRESS:PORT, such as 127.0.0.1:7400");
        return new InetSocketAddress("127.0.0.1", 0);
    }

    /** Returns whether the next word is {@code on} rather than {@code off}. */
    public boolean onOff() {
        return oneOf("on", "off").equals("on");
    }

    /** Reports a word that is left over. */
    public void expectEnd() {
        if (valid && hasMore()) {
            reportMistake(quote(statement.words().get(next)), "the end of the line");
        }
    }

    private static String quote(String word) {
        return "'" + word + "'";
    }

    /** Formats a bound: without a decimal point if it is an integer. */
    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /**
     * Returns the known word with the smallest edit distance, for a "did you mean" hint; null if none is within the
     * larger of 2 and a third of the word's length.
     */
    public static String nearest(String word, Collection<String> known) {
        String best = null;
        int limit = Math.max(2, word.length() / 3) + 1;
        for (String candidate : known) {
            int distance = distance(word, candidate);
            if (distance < limit) {
                limit = distance;
                best = candidate;
            }
        }
        return best;
    }

    /** Returns the Levenshtein distance. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substituted, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
