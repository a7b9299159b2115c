package org.tamarackline.logging;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.slf4j.LoggerFactory;

/** Captures the messages that a class logs, through whichever backend Flogger has chosen in this process. */
public final class LogCapture implements AutoCloseable {

    private final List<String> messages = new CopyOnWriteArrayList<>();
    private final Logger julLogger;
    private final ch.qos.logback.classic.Logger logbackLogger;

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord entry) {
            messages.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            messages.add(event.getFormattedMessage());
        }
    };

    /** Starts to capture. */
    public LogCapture(Class<?> logging) {
        julLogger = Logger.getLogger(logging.getName());
        julLogger.setUseParentHandlers(false);
        julLogger.addHandler(handler);
        logbackLogger = (ch.qos.logback.classic.Logger) LoggerFactory.getLogger(logging);
        appender.start();
        logbackLogger.addAppender(appender);
    }

    public List<String> messages() {
        return List.copyOf(messages);
    }

    @Override
    public void close() {
        julLogger.removeHandler(handler);
        julLogger.setUseParentHandlers(true);
        logbackLogger.detachAppender(appender);
    }
}
