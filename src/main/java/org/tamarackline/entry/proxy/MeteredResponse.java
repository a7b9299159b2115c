package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.tamarackline.core.usage.AttemptOutcome;

/** Reports once how an attempt ended: served if the whole answer was written, repeated or failed otherwise. */
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

    /** An answer is discarded in favour of another attempt. */
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
