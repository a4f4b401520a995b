package puffinbarrow.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigDecimal;
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
import java.util.Iterator;
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
 * Reads a recorded trace entry by entry, holding one line at a time: Common and Combined Log Format, CSV with a header
 * line, JSON lines or HAR; decompresses files whose name ends in .gz. Malformed lines are counted and the first few
 * kept to be shown; reading stops once they exceed the configured share. Read by TraceFlows and the load trace command;
 * not thread-safe.
 */
public final class Trace implements Closeable {
    /** Format of a trace file. Scenario files and reports name the constants in lower case. */
    public enum Format {
        CLF,
        CSV,
        JSON,
        HAR
    }

    /**
     * One request of the trace; texts that are missing are null, numbers that are missing -1.
     *
     * @param atNs time of the request by the trace's clock
     * @param coarse whether the time is that of a whole second
     * @param target index of the target, in recordings of the load generator
     */
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

    /** Thrown when more lines are malformed than the configured share. */
    public static final class TooManyMalformedException extends IOException {
        private static final long serialVersionUID = 1;

        TooManyMalformedException(String message) {
            super(message);
        }
    }

    /** A line that cannot be read; the message states what was found and expected. */
    private static final class MalformedLineException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedLineException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Longest line. Lines of a log have some hundred bytes; longer ones are attacks on log readers, or the file is
     * not a log.
     */
    private static final int MAX_LINE_BYTES = 64 * 1024;
    /** Lines that are read before the share of malformed ones is checked; with fewer, the share is not significant. */
    private static final int MIN_LINES_FOR_SHARE = 100;

    /** How many malformed lines are kept for the report. */
    private static final int MAX_SHOWN = 5;
    /** Largest request body that a trace may ask for; HAR entries are limited to it. */
    private static final int MAX_BODY_BYTES = 1 << 24;

    /** A line of the Common Log Format or the Combined one: time, method and path are its groups. */
    private static final Pattern CLF =
            Pattern.compile("\\S+ \\S+ .*?\\[([^\\]]+)\\] \"([A-Z]+) (\\S+)(?: [^\"]*)?\" \\d{3} (?:\\d+|-).*");

    private static final DateTimeFormatter CLF_TIME =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ROOT);

    private final Path file;
    private final Format format;
    private final Scenario.TraceSettings settings;
    private final InputStream in;
    private final byte[] block = new byte[64 * 1024];
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private final JsonFactory json = new JsonFactory();
    /** Index of each CSV column by its name. */
    private final Map<String, Integer> columns = new HashMap<>();

    private final CSVFormat csv = CSVFormat.DEFAULT;
    /** Null in other formats and after the last entry. */
    private JsonParser har;

    /** Position and end of the bytes that block holds. */
    private int blockPosition;

    private int blockEnd;
    private long lines;
    private long malformed;
    /** The last time stamp parsed and its value, as neighbouring lines often share it. */
    private String lastTimestamp = "";

    private long lastTimestampNs;
    private final List<Problem> firstProblems = new ArrayList<>();
    /** Whether the header line, or all that comes before a HAR file's entries, was read. */
    private boolean headerRead;

    private boolean relative;

    public Trace(Scenario.TraceSettings settings) throws IOException {
        this.settings = settings;
        this.file = settings.file;
        InputStream raw = Files.newInputStream(file);
        boolean gzipped = file.toString().endsWith(".gz");
        BufferedInputStream buffered = new BufferedInputStream(gzipped ? new GZIPInputStream(raw) : raw, 1 << 16);
        this.in = buffered;
        this.format = settings.format != null ? settings.format : detectFormat(buffered);
        if (format == Format.HAR) {
            har = json.createParser(in);
        }
    }

    /**
     * Detects the format from the first bytes: an object whose first key is "log" is HAR, any other object JSON, a line
     * in log format CLF, anything else CSV.
     */
    private static Format detectFormat(BufferedInputStream in) throws IOException {
        in.mark(1 << 15);
        String beginning = new String(in.readNBytes(4096), StandardCharsets.ISO_8859_1).stripLeading();
        in.reset();
        if (beginning.startsWith("{")) {
            return beginning.substring(1).stripLeading().startsWith("\"log\"") ? Format.HAR : Format.JSON;
        }
        String first = beginning.lines().findFirst().orElse("");
        return CLF.matcher(first).matches() ? Format.CLF : Format.CSV;
    }

    public Format format() {
        return format;
    }

    /** Whether times count from a run's start, as in recordings of the load generator. */
    boolean relative() {
        return relative;
    }

    /** Returns the lines or HAR entries read so far, malformed ones included. */
    public long lines() {
        return lines;
    }

    /** Returns the malformed lines or entries so far. */
    public long malformed() {
        return malformed;
    }

    /** Returns the first malformed lines: where, what was found, and what was expected. */
    public List<Problem> firstProblems() {
        return firstProblems;
    }

    /** Returns the next entry in the file's order, or null at its end. */
    public Entry next() throws IOException {
        while (true) {
            try {
                if (format == Format.HAR) {
                    return nextHarEntry();
                }
                String text = readLine();
                if (text == null) {
                    checkMalformedShare(true);
                    return null;
                }
                if (text.isBlank()) {
                    continue;
                }
                if (format == Format.CSV && !headerRead) {
                    readHeader(text);
                    continue;
                }
                lines++;
                return switch (format) {
                    case CLF -> parseClf(text);
                    case CSV -> parseCsv(text);
                    default -> parseJson(text);
                };
            } catch (MalformedLineException malformedLine) {
                malformed++;
                if (firstProblems.size() < MAX_SHOWN) {
                    firstProblems.add(new Problem(
                            file.toString(),
                            (int) Math.min(Integer.MAX_VALUE, lines + (format == Format.CSV ? 1 : 0)),
                            malformedLine.getMessage()));
                }
                checkMalformedShare(false);
            }
        }
    }

    /** Throws if too many lines are malformed so far. */
    private void checkMalformedShare(boolean atEnd) throws IOException {
        if (malformed > settings.malformedShare * lines && (atEnd || lines >= MIN_LINES_FOR_SHARE)) {
            throw new TooManyMalformedException(String.format(
                    Locale.ROOT,
                    "%s: %d of %d lines malformed, expected %.2f%% at most",
                    file,
                    malformed,
                    lines,
                    100 * settings.malformedShare));
        }
    }

    /** Returns the next line without its end, or null at the file's end. */
    private String readLine() throws IOException, MalformedLineException {
        int length = 0;
        boolean tooLong = false;
        while (true) {
            if (blockPosition == blockEnd) {
                blockEnd = Math.max(0, in.read(block));
                blockPosition = 0;
                if (blockEnd == 0) {
                    if (length == 0 && !tooLong) {
                        return null;
                    }
                    break;
                }
            }
            byte next = block[blockPosition++];
            if (next == '\n') {
                break;
            }
            if (length < MAX_LINE_BYTES) {
                line[length++] = next;
            } else {
                tooLong = true;
            }
        }
        if (tooLong) {
            lines++;
            throw new MalformedLineException("line over " + MAX_LINE_BYTES + " bytes, expected a shorter one");
        }
        if (length > 0 && line[length - 1] == '\r') {
            length--;
        }
        return new String(line, 0, length, StandardCharsets.UTF_8);
    }

    // ---- Common Log Format, CSV and JSON lines

    private Entry parseClf(String text) throws MalformedLineException {
        Matcher matcher = CLF.matcher(text);
        if (!matcher.matches()) {
            throw new MalformedLineException(
                    "not a line of the Common Log Format, expected HOST - USER [TIME] \"METHOD PATH HTTP/1.1\" CODE "
                            + "BYTES");
        }
        if (!matcher.group(1).equals(lastTimestamp)) {
            try {
                lastTimestampNs =
                        ZonedDateTime.parse(matcher.group(1), CLF_TIME).toEpochSecond() * 1_000_000_000L;
                lastTimestamp = matcher.group(1);
            } catch (DateTimeParseException unreadable) {
                throw new MalformedLineException(
                        "time '" + matcher.group(1) + "', expected such as 06/Apr/2026:08:00:00 +0200");
            }
        }
        return new Entry(lastTimestampNs, true, matcher.group(2), matcher.group(3), null, null, -1, -1, -1);
    }

    /** Returns the name of a field's column. */
    private String column(String field) {
        return settings.columns.getOrDefault(field, field);
    }

    /** Reads the header line of a CSV file. */
    private void readHeader(String text) throws IOException {
        headerRead = true;
        try (CSVParser parser = CSVParser.parse(text, csv)) {
            for (CSVRecord record : parser) {
                for (int i = 0; i < record.size(); i++) {
                    columns.put(record.get(i).trim(), i);
                }
            }
        }
        if (!columns.containsKey(column("time"))) {
            throw new IOException(file + ":1: columns " + columns.keySet() + ", expected one named '" + column("time")
                    + "' (or a line 'column time NAME' in the scenario)");
        }
    }

    private Entry parseCsv(String text) throws MalformedLineException {
        CSVRecord record;
        try (CSVParser parser = CSVParser.parse(text, csv)) {
            Iterator<CSVRecord> records = parser.iterator();
            record = records.hasNext() ? records.next() : null;
        } catch (IOException | RuntimeException unreadable) {
            throw new MalformedLineException("not a CSV line, expected closed quotes");
        }
        if (record == null || record.size() != columns.size()) {
            throw new MalformedLineException(
                    (record == null ? 0 : record.size()) + " columns, expected " + columns.size());
        }
        Map<String, String> values = new HashMap<>();
        columns.forEach((name, index) -> values.put(name, record.get(index)));
        return entry(values);
    }

    private Entry parseJson(String text) throws MalformedLineException {
        Map<String, String> values = new HashMap<>();
        try (JsonParser parser = json.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedLineException("not a JSON object, expected {...}");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                if (value.isScalarValue()) {
                    values.put(name, parser.getText());
                } else {
                    parser.skipChildren();
                }
            }
            if (parser.currentToken() != JsonToken.END_OBJECT) {
                throw new MalformedLineException("JSON object without an end, expected }");
            }
        } catch (IOException unreadable) {
            throw new MalformedLineException("not JSON, expected one object per line");
        }
        return entry(values);
    }

    /** Builds an entry from the values of a CSV or JSON line, by column name. */
    private Entry entry(Map<String, String> values) throws MalformedLineException {
        boolean recorded = values.containsKey(FlowRecorder.TIME_COLUMN);
        String time = values.get(recorded ? FlowRecorder.TIME_COLUMN : column("time"));
        if (time == null) {
            throw new MalformedLineException("no '" + column("time") + "', expected a time");
        }
        relative |= recorded;
        String work = values.get(column("work"));
        String body = values.get(column("body"));
        return new Entry(
                parseTime(time.trim(), recorded ? "ns" : settings.unit),
                false,
                values.get(column("method")),
                values.get(column("path")),
                values.get(column("group")),
                values.get(column("key")),
                (int) parseNumber(body, "body", MAX_BODY_BYTES),
                parseNumber(work, "work", Long.MAX_VALUE),
                recorded ? (int) parseNumber(values.get("target"), "target", 1 << 20) : -1);
    }

    /** Parses an optional number; -1 if it is missing. */
    private static long parseNumber(String text, String field, long max) throws MalformedLineException {
        if (text == null || text.isEmpty()) {
            return -1;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException unreadable) {
            // Reported below, like a number out of range.
        }
        throw new MalformedLineException(field + " '" + text + "', expected a whole number from 0 to " + max);
    }

    /**
     * Parses a time into nanoseconds. Without a unit, a text with a T is an ISO date, any other a number of seconds.
     */
    private static long parseTime(String text, String unit) throws MalformedLineException {
        try {
            if (unit.equals("iso") || unit.isEmpty() && text.indexOf('T') > 0) {
                return parseIso(text);
            }
            BigDecimal number = new BigDecimal(text);
            int shift =
                    switch (unit) {
                        case "ns" -> 0;
                        case "us" -> 3;
                        case "ms" -> 6;
                        default -> 9;
                    };
            BigDecimal ns = number.scaleByPowerOfTen(shift);
            // Up to half the range of a long, some 146 years: anything more is not a time.
            if (ns.abs().compareTo(BigDecimal.valueOf(Long.MAX_VALUE / 2)) < 0) {
                return ns.longValue();
            }
        } catch (ArithmeticException | NumberFormatException | DateTimeParseException unreadable) {
            // Reported below, like a number out of range.
        }
        throw new MalformedLineException("time '" + text + "', expected "
                + (unit.isEmpty()
                        ? "seconds or such as 2026-04-06T08:00:00Z"
                        : unit.equals("iso") ? "such as 2026-04-06T08:00:00Z" : "a number of " + unit));
    }

    private static long parseIso(String text) {
        Instant instant = OffsetDateTime.parse(text).toInstant();
        return Math.addExact(Math.multiplyExact(instant.getEpochSecond(), 1_000_000_000L), instant.getNano());
    }

    // ---- HAR: one JSON document, whose entries are read one at a time

    private Entry nextHarEntry() throws IOException, MalformedLineException {
        if (har == null) {
            checkMalformedShare(true);
            return null;
        }
        try {
            if (!headerRead) {
                headerRead = true;
                while (har.nextToken() != null
                        && !(har.currentToken() == JsonToken.FIELD_NAME
                                && har.currentName().equals("entries"))) {
                    // Skips pages, creator and browser, which come before the entries.
                }
                har.nextToken();
            }
            JsonToken token = har.nextToken();
            if (token != JsonToken.START_OBJECT) {
                har = null;
                if (token != JsonToken.END_ARRAY) {
                    lines++;
                    throw new MalformedLineException(
                            "neither an entry nor the end of the entries, expected a HAR document");
                }
                checkMalformedShare(true);
                return null;
            }
            lines++;
            return parseHarEntry();
        } catch (JsonProcessingException notJson) {
            har = null;
            lines++;
            throw new MalformedLineException(
                    "not JSON from here on: " + notJson.getOriginalMessage() + ", expected a HAR document");
        }
    }

    /** Reads one entry of a HAR file, from after its opening brace to its end. */
    private Entry parseHarEntry() throws IOException, MalformedLineException {
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
            throw new MalformedLineException(
                    "entry without startedDateTime, request.method or request.url, expected all three");
        }
        String path = url;
        int scheme = url.indexOf("://");
        if (scheme > 0) {
            int slash = url.indexOf('/', scheme + 3);
            path = slash < 0 ? "/" : url.substring(slash);
        }
        return new Entry(
                parseTime(time, "iso"), false, method, path, null, null, (int) Math.min(MAX_BODY_BYTES, body), -1, -1);
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
