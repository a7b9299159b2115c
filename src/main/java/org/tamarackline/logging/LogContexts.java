package org.tamarackline.logging;

import org.slf4j.MDC;

/** Adds fields to the log lines of the current thread. */
public final class LogContexts {

    private LogContexts() {}

    /**
     * Work that returns a value.
     *
     * @param <T> type of the value
     * @param <E> type of the exception
     */
    @FunctionalInterface
    public interface Work<T, E extends Exception> {

        /** Runs the work. */
        T call() throws E;
    }

    /** Runs {@code work}; each line that this thread logs in the meantime contains {@code field}. */
    public static <T, E extends Exception> T with(LogField field, Object value, Work<T, E> work) throws E {
        String previous = MDC.get(field.key());
        MDC.put(field.key(), String.valueOf(value));
        try {
            return work.call();
        } finally {
            restore(field, previous);
        }
    }

    private static void restore(LogField field, String previous) {
        if (previous == null) {
            MDC.remove(field.key());
        } else {
            MDC.put(field.key(), previous);
        }
    }
}
