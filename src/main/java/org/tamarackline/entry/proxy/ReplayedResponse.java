package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

import org.tamarackline.core.idempotency.RecordedResponse;
import org.tamarackline.entry.Executed;

/** The recorded response to an earlier request with the same idempotency key. */
final class ReplayedResponse implements RoutedResponse {

    private final RecordedResponse recorded;
    private final byte[] body;

    ReplayedResponse(RecordedResponse recorded, byte[] body) {
        this.recorded = recorded;
        this.body = body;
    }

    @Override
    public int status() {
        return recorded.status();
    }

    @Override
    public List<HeaderField> headers() {
        List<HeaderField> fields = new ArrayList<>();
        recorded.headers().forEach(header -> fields.add(new HeaderField(header.name(), header.value())));
        fields.add(new HeaderField(Headers.REPLAYED, "true"));
        return fields;
    }

    @Override
    public Executed executed() {
        return Executed.YES;
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        output.write(body);
    }

    /** Does nothing: a replayed response uses no slot. */
    @Override
    public void discard() {}
}
