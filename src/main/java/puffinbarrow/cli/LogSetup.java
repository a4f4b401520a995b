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

/** Configures logging to standard error: text or one JSON object per line, at a level. */
final class LogSetup {
    private LogSetup() {}

    /** Replaces the logging configuration; an unknown level counts as info. */
    static void configure(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (json) {
            LogstashEncoder jsonEncoder = new LogstashEncoder();
            jsonEncoder.setContext(context);
            encoder = jsonEncoder;
        } else {
            PatternLayoutEncoder textEncoder = new PatternLayoutEncoder();
            textEncoder.setContext(context);
            textEncoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} - %msg %kvp%n");
            encoder = textEncoder;
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
