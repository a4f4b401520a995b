package puffinbarrow.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets the log's form and level: text for people or a JSON object a line, to standard error. */
final class Logs {
    private Logs() {}

    static void set(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (json) {
            LogstashEncoder lines = new LogstashEncoder();
            lines.setContext(context);
            encoder = lines;
        } else {
            PatternLayoutEncoder lines = new PatternLayoutEncoder();
            lines.setContext(context);
            lines.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} - %msg %kvp%n");
            encoder = lines;
        }
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.toLevel(level, Level.INFO));
    }
}
