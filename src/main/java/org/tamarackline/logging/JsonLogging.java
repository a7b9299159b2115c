package org.tamarackline.logging;

import java.io.OutputStream;
import java.time.ZoneOffset;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.pattern.ThrowableProxyConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.logging.json.EventAttribute;
import io.dropwizard.logging.json.layout.EventJsonLayout;
import io.dropwizard.logging.json.layout.JsonFormatter;
import io.dropwizard.logging.json.layout.TimestampFormatter;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/** Configures Flogger, SLF4J and java.util.logging to write log lines as JSON, one object per line. */
public final class JsonLogging {

    private static final String TIMESTAMP_FORMAT = "yyyy-MM-dd'T'HH:mm:ss.SSSX";
    private static final String FLOGGER_BACKEND_PROPERTY = "flogger.backend_factory";
    private static final String FLOGGER_BACKEND =
            "com.google.common.flogger.backend.slf4j.Slf4jBackendFactory#getInstance";

    private JsonLogging() {}

    /**
     * Replaces the logging configuration of this process. Must be called before the first Flogger logger is created,
     * because Flogger chooses its backend only once.
     *
     * @param output stream to which the lines are written; standard error if the command prints a result to
     *     standard output
     * @param constantFields fields that every line contains
     */
    public static void install(OutputStream output, Map<LogField, String> constantFields) {
        System.setProperty(FLOGGER_BACKEND_PROPERTY, FLOGGER_BACKEND);
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(appender(context, output, constantFields));
        quietLibraries(context);
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
    }

    /** Drops routine messages of libraries, which would hide the events of this project. */
    private static void quietLibraries(LoggerContext context) {
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
        context.getLogger("io.dropwizard").setLevel(Level.WARN);
        context.getLogger("org.hibernate.validator").setLevel(Level.WARN);
        context.getLogger("org.glassfish.jersey").setLevel(Level.WARN);
        // Logs an error with a stack trace for each caller that disconnects.
        context.getLogger("org.glassfish.jersey.server.ServerRuntime$Responder").setLevel(Level.OFF);
    }

    private static OutputStreamAppender<ILoggingEvent> appender(
            LoggerContext context, OutputStream output, Map<LogField, String> constantFields) {
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setLayout(layout(context, constantFields));
        encoder.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setName("json");
        appender.setEncoder(encoder);
        appender.setOutputStream(output);
        appender.start();
        return appender;
    }

    private static EventJsonLayout layout(LoggerContext context, Map<LogField, String> constantFields) {
        ThrowableProxyConverter exceptions = new ThrowableProxyConverter();
        exceptions.setContext(context);
        exceptions.start();
        Map<String, Object> additionalFields = new HashMap<>();
        constantFields.forEach((field, value) -> additionalFields.put(field.key(), value));
        EventJsonLayout layout = new EventJsonLayout(
                new JsonFormatter(new ObjectMapper(), false, true),
                new TimestampFormatter(TIMESTAMP_FORMAT, ZoneOffset.UTC),
                exceptions,
                EnumSet.of(
                        EventAttribute.TIMESTAMP,
                        EventAttribute.LEVEL,
                        EventAttribute.LOGGER_NAME,
                        EventAttribute.MESSAGE,
                        EventAttribute.EXCEPTION,
                        EventAttribute.MDC),
                Map.of(),
                additionalFields,
                mdcKeys(),
                true);
        layout.setContext(context);
        layout.start();
        return layout;
    }

    private static Set<String> mdcKeys() {
        Set<String> keys = new LinkedHashSet<>();
        for (LogField field : LogField.values()) {
            keys.add(field.key());
        }
        return keys;
    }
}
