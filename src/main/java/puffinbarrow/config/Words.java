package puffinbarrow.config;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Takes the words of one statement in turn. What is wrong is noted with its line and what was expected; a stand-in
 * value goes on, so that one pass finds all mistakes of a file.
 */
public final class Words {
    private final Statement statement;
    private final List<Problem> problems;
    private int at = 1;
    private boolean sound = true;

    public Words(Statement statement, List<Problem> problems) {
        this.statement = statement;
        this.problems = problems;
    }

    public boolean more() {
        return at < statement.words().size();
    }

    /** Whether nothing was wrong so far. */
    public boolean sound() {
        return sound;
    }

    public void wrong(String found, String expected) {
        if (sound) {
            problems.add(statement.problem(statement.keyword() + ": found " + found + ", expected " + expected));
        }
        sound = false;
    }

    /** The statement's keyword is none of these; its words are passed over. */
    public void unknown(List<String> keywords) {
        String near = nearest(statement.keyword(), keywords);
        problems.add(statement.problem("unknown keyword '" + statement.keyword() + "', expected one of "
                + String.join(", ", keywords) + (near == null ? "" : " (did you mean " + near + "?)")));
        at = statement.words().size();
    }

    public String text(String expected) {
        if (!more()) {
            wrong("the end of the line", expected);
            return "";
        }
        return statement.words().get(at++);
    }

    /** Takes the word if it is the next one. */
    public boolean take(String word) {
        if (more() && statement.words().get(at).equals(word)) {
            at++;
            return true;
        }
        return false;
    }

    public void expect(String word) {
        if (!take(word)) {
            wrong(more() ? quote(statement.words().get(at)) : "the end of the line", quote(word));
        }
    }

    public String oneOf(String... words) {
        String word = text("one of " + String.join(", ", words));
        if (sound && !List.of(words).contains(word)) {
            String near = nearest(word, List.of(words));
            wrong(
                    quote(word),
                    "one of " + String.join(", ", words) + (near == null ? "" : " (did you mean " + near + "?)"));
        }
        return sound ? word : words[0];
    }

    public double number(String what, double least, double most) {
        String word = text(what);
        try {
            double value = Double.parseDouble(word);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notOne) {
            // Said below, as a figure out of bounds is.
        }
        wrong(quote(word), what + " from " + plain(least) + " to " + plain(most));
        return least;
    }

    public long whole(String what, long least, long most) {
        String word = text(what);
        try {
            long value = Long.parseLong(word);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notOne) {
            // Said below.
        }
        wrong(quote(word), what + ", a whole number from " + least + " to " + most);
        return least;
    }

    /** A share: {@code 0.25} or {@code 25%}. */
    public double share(String what) {
        String word = text(what);
        try {
            double value = word.endsWith("%")
                    ? Double.parseDouble(word.substring(0, word.length() - 1)) / 100
                    : Double.parseDouble(word);
            if (value >= 0 && value <= 1) {
                return value;
            }
        } catch (NumberFormatException notOne) {
            // Said below.
        }
        wrong(quote(word), what + ", a share such as 0.25 or 25%");
        return 1;
    }

    /** A time as 250us, 20ms, 1.5s, 2m or 1h, in nanoseconds. */
    public long time(String what) {
        String word = text(what);
        long value = nanos(word);
        if (value < 0) {
            wrong(quote(word), what + ", a time such as 20ms, 1.5s or 2m");
            return 1;
        }
        return value;
    }

    private static long nanos(String word) {
        String[] units = {"ns", "us", "ms", "s", "m", "h"};
        double[] each = {1, 1e3, 1e6, 1e9, 60e9, 3600e9};
        for (int i = 0; i < units.length; i++) {
            if (word.endsWith(units[i]) && word.length() > units[i].length()) {
                try {
                    double value = Double.parseDouble(word.substring(0, word.length() - units[i].length()));
                    return value >= 0 && value * each[i] < 9e18 ? Math.round(value * each[i]) : -1;
                } catch (NumberFormatException longerUnit) {
                    continue;
                }
            }
        }
        return -1;
    }

    /** A size as 512, 64k, 4m or 1g, in bytes. */
    public long size(String what) {
        String word = text(what).toLowerCase(Locale.ROOT);
        int shift = word.endsWith("k") ? 10 : word.endsWith("m") ? 20 : word.endsWith("g") ? 30 : 0;
        try {
            long value = Long.parseLong(shift > 0 ? word.substring(0, word.length() - 1) : word);
            if (value > 0 && value < 1L << 32) {
                return value << shift;
            }
        } catch (NumberFormatException notOne) {
            // Said below.
        }
        wrong(quote(word), what + ", a size such as 64k or 4m");
        return 1;
    }

    /** HOST:PORT; the host is loopback or an address, never looked up. */
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
        } catch (NumberFormatException notOne) {
            // Said below.
        }
        wrong(quote(word), what + " as ADDRESS:PORT, such as 127.0.0.1:7400");
        return new InetSocketAddress("127.0.0.1", 0);
    }

    public boolean onOff() {
        return oneOf("on", "off").equals("on");
    }

    public void end() {
        if (sound && more()) {
            wrong(quote(statement.words().get(at)), "the end of the line");
        }
    }

    private static String quote(String word) {
        return "'" + word + "'";
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** The known word that differs by the fewest letters, if few enough to be meant. */
    public static String nearest(String word, Collection<String> known) {
        String best = null;
        int least = Math.max(2, word.length() / 3) + 1;
        for (String each : known) {
            int distance = distance(word, each);
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best;
    }

    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int swap = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(swap, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
