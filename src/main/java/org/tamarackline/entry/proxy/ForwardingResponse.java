package org.tamarackline.entry.proxy;

import java.util.List;

import org.tamarackline.entry.Executed;

/** A response that delegates to another one; subclasses change how its body is written or discarded. */
abstract class ForwardingResponse implements RoutedResponse {

    private final RoutedResponse delegate;

    ForwardingResponse(RoutedResponse delegate) {
        this.delegate = delegate;
    }

    /** Returns the response that this one delegates to. */
    final RoutedResponse delegate() {
        return delegate;
    }

    @Override
    public final int status() {
        return delegate.status();
    }

    @Override
    public final List<HeaderField> headers() {
        return delegate.headers();
    }

    @Override
    public final Executed executed() {
        return delegate.executed();
    }

    @Override
    public void discard() {
        delegate.discard();
    }
}
