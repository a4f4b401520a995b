package puffinbarrow.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.GZIPInputStream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import puffinbarrow.config.Problem;

/**
 * Reads a recorded trace entry by entry, holding one line at a time: Common and Combined Log Format, CSV with a head
 * line, JSON lines, HAR; gzip by its file name's end. What cannot be read is counted, the first few are kept to be
 * shown, and reading stops once they pass the share that was set.
 */
public final class Trace implements Closeable {
    public enum Format {
        CLF,
        CSV,
        JSON,
        HAR
    }

    /** One request of the trace, by its own clock. Coarse: the time is that of a whole second. Missing numbers are -1. */
    public record Entry(
            long atNs,
            boolean coarse,
            String method,
            String path,
            String group,
            String key,
            int bodyBytes,
            long workNs,
            int target) {}

    /** More was malformed than the share that was set. */
    public static final class TooManyMalformed extends IOException {
        private static final long serialVersionUID = 1;

        TooManyMalformed(String message) {
            super(message);
        }
    }

    private static final class Odd extends Exception {
        private static final long serialVersionUID = 1;

        Odd(String message) {
            super(message, null, false, false);
        }
    }

    /** A line of a log is some hundred bytes; longer ones are attacks on the log's readers or not lines at all. */
    private static final int LINE_BYTES = 64 * 1024;
    /** Below so many lines a share says little. */
    private static final int SHARE_FROM = 100;

    private static final int SHOWN = 5;
    private static final Pattern CLF =
            Pattern.compile("\\S+ \\S+ .*?\\[([^\\]]+)\\] \"([A-Z]+) (\\S+)(?: [^\"]*)?\" \\d{3} (?:\\d+|-).*");
    private static final DateTimeFormatter CLF_TIME =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ROOT);

    private final Path file;
    private final Format format;
    private final Scenario.FromTrace plan;
    private final InputStream in;
    private final byte[] block = new byte[64 * 1024];
    private final byte[] line = new byte[LINE_BYTES];
    private final JsonFactory json = new JsonFactory();
    private final Map<String, Integer> columns = new HashMap<>();
    private final CSVFormat csv = CSVFormat.DEFAULT;
    private JsonParser har;
    private int blockAt, blockEnds;
    private long lines, malformed;
    private String lastStamp = "";
    private long lastStampNs;
    private final List<Problem> shown = new ArrayList<>();
    private boolean headRead;
    private boolean relative;

    public Trace(Scenario.FromTrace plan) throws IOException {
        this.plan = plan;
        this.file = plan.file;
        InputStream raw = Files.newInputStream(file);
        boolean zipped = file.toString().endsWith(".gz");
        BufferedInputStream buffered = new BufferedInputStream(zipped ? new GZIPInputStream(raw) : raw, 1 << 16);
        this.in = buffered;
        this.format = plan.format != null ? plan.format : guess(buffered);
        if (format == Format.HAR) {
            har = json.createParser(in);
        }
    }

    /** By its first bytes: an object with a log in it, any object, a date in brackets, or else columns. */
    private static Format guess(BufferedInputStream in) throws IOException {
        in.mark(1 << 15);
        String begin = new String(in.readNBytes(4096), StandardCharsets.ISO_8859_1).stripLeading();
        in.reset();
        if (begin.startsWith("{")) {
            return begin.substring(1).stripLeading().startsWith("\"log\"") ? Format.HAR : Format.JSON;
        }
        String first = begin.lines().findFirst().orElse("");
        return CLF.matcher(first).matches() ? Format.CLF : Format.CSV;
    }

    public Format format() {
        return format;
    }

    /** Whether times count from a run's start, as in a log of our own. */
    boolean relative() {
        return relative;
    }

    /** Lines or HAR entries looked at, malformed ones among them. */
    public long lines() {
        return lines;
    }

    public long malformed() {
        return malformed;
    }

    /** The first malformed ones: where, what, and what was expected. */
    public List<Problem> shown() {
        return shown;
    }

    /** The next entry in the file's order, or null at its end. */
    public Entry next() throws IOException {
        while (true) {
            try {
                if (format == Format.HAR) {
                    return harEntry();
                }
                String text = line();
                if (text == null) {
                    check(true);
                    return null;
                }
                if (text.isBlank()) {
                    continue;
                }
                if (format == Format.CSV && !headRead) {
                    head(text);
                    continue;
                }
                lines++;
                return switch (format) {
                    case CLF -> clf(text);
                    case CSV -> csv(text);
                    default -> json(text);
                };
            } catch (Odd odd) {
                malformed++;
                if (shown.size() < SHOWN) {
                    shown.add(new Problem(
                            file.toString(),
                            (int) Math.min(Integer.MAX_VALUE, lines + (format == Format.CSV ? 1 : 0)),
                            odd.getMessage()));
                }
                check(false);
            }
        }
    }

    private void check(boolean atEnd) throws IOException {
        if (malformed > plan.malformedShare * lines && (atEnd || lines >= SHARE_FROM)) {
            throw new TooManyMalformed(String.format(
                    Locale.ROOT,
                    "%s: %d of %d lines malformed, expected %.2f%% at most",
                    file,
                    malformed,
                    lines,
                    100 * plan.malformedShare));
        }
    }

    private String line() throws IOException, Odd {
        int length = 0;
        boolean tooLong = false;
        while (true) {
            if (blockAt == blockEnds) {
                blockEnds = Math.max(0, in.read(block));
                blockAt = 0;
                if (blockEnds == 0) {
                    if (length == 0 && !tooLong) {
                        return null;
                    }
                    break;
                }
            }
            byte b = block[blockAt++];
            if (b == '\n') {
                break;
            }
            if (length < LINE_BYTES) {
                line[length++] = b;
            } else {
                tooLong = true;
            }
        }
        if (tooLong) {
            lines++;
            throw new Odd("a line over " + LINE_BYTES + " bytes, expected a shorter one");
        }
        if (length > 0 && line[length - 1] == '\r') {
            length--;
        }
        return new String(line, 0, length, StandardCharsets.UTF_8);
    }

    // ---- Log formats.

    private Entry clf(String text) throws Odd {
        Matcher m = CLF.matcher(text);
        if (!m.matches()) {
            throw new Odd(
                    "not a line of the Common Log Format, expected HOST - USER [TIME] \"METHOD PATH HTTP/1.1\" CODE "
                            + "BYTES");
        }
        if (!m.group(1).equals(lastStamp)) {
            try {
                lastStampNs = ZonedDateTime.parse(m.group(1), CLF_TIME).toEpochSecond() * 1_000_000_000L;
                lastStamp = m.group(1);
            } catch (DateTimeParseException wrong) {
                throw new Odd("time '" + m.group(1) + "', expected such as 06/Apr/2026:08:00:00 +0200");
            }
        }
        return new Entry(lastStampNs, true, m.group(2), m.group(3), null, null, -1, -1, -1);
    }

    private String column(String field) {
        return plan.columns.getOrDefault(field, field);
    }

    private void head(String text) throws IOException {
        headRead = true;
        try (CSVParser parser = CSVParser.parse(text, csv)) {
            for (CSVRecord record : parser) {
                for (int i = 0; i < record.size(); i++) {
                    columns.put(record.get(i).trim(), i);
                }
            }
        }
        if (!columns.containsKey(column("time"))) {
            throw new IOException(file + ":1: columns " + columns.keySet() + ", expected one named '" + column("time")
                    + "' (a line 'column time NAME' says another)");
        }
    }

    private Entry csv(String text) throws Odd {
        CSVRecord record;
        try (CSVParser parser = CSVParser.parse(text, csv)) {
            java.util.Iterator<CSVRecord> all = parser.iterator();
            record = all.hasNext() ? all.next() : null;
        } catch (IOException | RuntimeException wrong) {
            throw new Odd("not a line of CSV, expected quotes to be closed");
        }
        if (record == null || record.size() != columns.size()) {
            throw new Odd((record == null ? 0 : record.size()) + " columns, expected " + columns.size());
        }
        Map<String, String> values = new HashMap<>();
        columns.forEach((name, at) -> values.put(name, record.get(at)));
        return entry(values);
    }

    private Entry json(String text) throws Odd {
        Map<String, String> values = new HashMap<>();
        try (JsonParser p = json.createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new Odd("not an object, expected {...}");
            }
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                JsonToken value = p.nextToken();
                if (value.isScalarValue()) {
                    values.put(name, p.getText());
                } else {
                    p.skipChildren();
                }
            }
            if (p.currentToken() != JsonToken.END_OBJECT) {
                throw new Odd("an object that does not end, expected }");
            }
        } catch (IOException wrong) {
            throw new Odd("not JSON, expected one object a line");
        }
        return entry(values);
    }

    private Entry entry(Map<String, String> values) throws Odd {
        boolean ours = values.containsKey(SentLog.TIME);
        String time = values.get(ours ? SentLog.TIME : column("time"));
        if (time == null) {
            throw new Odd("no '" + column("time") + "', expected a time");
        }
        relative |= ours;
        String work = values.get(column("work"));
        String body = values.get(column("body"));
        return new Entry(
                time(time.trim(), ours ? "ns" : plan.unit),
                false,
                values.get(column("method")),
                values.get(column("path")),
                values.get(column("group")),
                values.get(column("key")),
                (int) number(body, "body", 1 << 24),
                number(work, "work", Long.MAX_VALUE),
                ours ? (int) number(values.get("target"), "target", 1 << 20) : -1);
    }

    private static long number(String text, String field, long most) throws Odd {
        if (text == null || text.isEmpty()) {
            return -1;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= 0 && number <= most) {
                return number;
            }
        } catch (NumberFormatException wrong) {
            // Said below.
        }
        throw new Odd(field + " '" + text + "', expected a whole number from 0 to " + most);
    }

    /** Without a unit: a date with a T in it, or seconds. */
    private static long time(String text, String unit) throws Odd {
        try {
            if (unit.equals("iso") || unit.isEmpty() && text.indexOf('T') > 0) {
                return iso(text);
            }
            java.math.BigDecimal number = new java.math.BigDecimal(text);
            int shift =
                    switch (unit) {
                        case "ns" -> 0;
                        case "us" -> 3;
                        case "ms" -> 6;
                        default -> 9;
                    };
            java.math.BigDecimal ns = number.scaleByPowerOfTen(shift);
            // Some 290 years: more is not a time.
            if (ns.abs().compareTo(java.math.BigDecimal.valueOf(Long.MAX_VALUE / 2)) < 0) {
                return ns.longValue();
            }
        } catch (ArithmeticException | NumberFormatException | DateTimeParseException wrong) {
            // Said below.
        }
        throw new Odd("time '" + text + "', expected "
                + (unit.isEmpty()
                        ? "seconds or such as 2026-04-06T08:00:00Z"
                        : unit.equals("iso") ? "such as 2026-04-06T08:00:00Z" : "a number of " + unit));
    }

    private static long iso(String text) {
        Instant at = OffsetDateTime.parse(text).toInstant();
        return Math.addExact(Math.multiplyExact(at.getEpochSecond(), 1_000_000_000L), at.getNano());
    }

    // ---- HAR: one JSON document; its entries are read one at a time.

    private Entry harEntry() throws IOException, Odd {
        if (har == null) {
            check(true);
            return null;
        }
        try {
            if (!headRead) {
                headRead = true;
                while (har.nextToken() != null
                        && !(har.currentToken() == JsonToken.FIELD_NAME
                                && har.currentName().equals("entries"))) {
                    // Pages, the creator and the browser come first.
                }
                har.nextToken();
            }
            JsonToken token = har.nextToken();
            if (token != JsonToken.START_OBJECT) {
                har = null;
                if (token != JsonToken.END_ARRAY) {
                    lines++;
                    throw new Odd("no entry and no end of entries, expected a HAR document");
                }
                check(true);
                return null;
            }
            lines++;
            return harFields();
        } catch (com.fasterxml.jackson.core.JsonProcessingException broken) {
            har = null;
            lines++;
            throw new Odd("not JSON from here on: " + broken.getOriginalMessage() + ", expected a HAR document");
        }
    }

    private Entry harFields() throws IOException, Odd {
        String time = null;
        String method = null;
        String url = null;
        long body = -1;
        while (har.nextToken() == JsonToken.FIELD_NAME) {
            String name = har.currentName();
            JsonToken value = har.nextToken();
            if (name.equals("startedDateTime")) {
                time = har.getText();
            } else if (name.equals("request") && value == JsonToken.START_OBJECT) {
                while (har.nextToken() == JsonToken.FIELD_NAME) {
                    String inner = har.currentName();
                    har.nextToken();
                    switch (inner) {
                        case "method" -> method = har.getText();
                        case "url" -> url = har.getText();
                        case "bodySize" -> body = har.getValueAsLong(-1);
                        default -> har.skipChildren();
                    }
                }
            } else {
                har.skipChildren();
            }
        }
        if (time == null || method == null || url == null) {
            throw new Odd("an entry without startedDateTime, request.method or request.url, expected all three");
        }
        String path = url;
        int scheme = url.indexOf("://");
        if (scheme > 0) {
            int slash = url.indexOf('/', scheme + 3);
            path = slash < 0 ? "/" : url.substring(slash);
        }
        return new Entry(time(time, "iso"), false, method, path, null, null, (int) Math.min(1 << 24, body), -1, -1);
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
