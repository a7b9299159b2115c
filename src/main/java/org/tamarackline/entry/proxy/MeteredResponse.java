package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.tamarackline.core.usage.AttemptOutcome;

/**
 * A response that reports the outcome of its attempt once: served if the whole body was written, failed if writing failed,
 * repeated if the response was discarded for a retry.
 */
final class MeteredResponse extends ForwardingResponse {

    private final Consumer<AttemptOutcome> report;
    private final AtomicBoolean reported = new AtomicBoolean();

    MeteredResponse(RoutedResponse response, Consumer<AttemptOutcome> report) {
        super(response);
        this.report = report;
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        boolean written = false;
        try {
            delegate().writeTo(output);
            written = true;
        } finally {
            reportOnce(written ? AttemptOutcome.SERVED : AttemptOutcome.FAILED);
        }
    }

    /** The router discards a response only to retry the request. */
    @Override
    public void discard() {
        super.discard();
        reportOnce(AttemptOutcome.REPEATED);
    }

    private void reportOnce(AttemptOutcome outcome) {
        if (reported.compareAndSet(false, true)) {
            report.accept(outcome);
        }
    }
}
