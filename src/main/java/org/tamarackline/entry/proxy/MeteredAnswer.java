package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.tamarackline.core.usage.RequestOutcome;
import org.tamarackline.entry.Executed;

/** Reports once how an attempt ended: served if the whole answer was written, repeated or failed otherwise. */
final class MeteredAnswer implements RoutedAnswer {

    private final RoutedAnswer answer;
    private final Consumer<RequestOutcome> report;
    private final AtomicBoolean reported = new AtomicBoolean();

    MeteredAnswer(RoutedAnswer answer, Consumer<RequestOutcome> report) {
        this.answer = answer;
        this.report = report;
    }

    @Override
    public int status() {
        return answer.status();
    }

    @Override
    public List<HeaderField> headers() {
        return answer.headers();
    }

    @Override
    public Executed executed() {
        return answer.executed();
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        boolean written = false;
        try {
            answer.writeTo(output);
            written = true;
        } finally {
            reportOnce(written ? RequestOutcome.SERVED : RequestOutcome.FAILED);
        }
    }

    /** An answer is discarded in favour of another attempt. */
    @Override
    public void discard() {
        answer.discard();
        reportOnce(RequestOutcome.REPEATED);
    }

    private void reportOnce(RequestOutcome outcome) {
        if (reported.compareAndSet(false, true)) {
            report.accept(outcome);
        }
    }
}
