package org.tamarackline.entry.proxy;

import java.util.List;

import org.tamarackline.entry.Executed;

/** An answer with the head of another one; subclasses add to how it is written or discarded. */
abstract class ForwardingAnswer implements RoutedAnswer {

    private final RoutedAnswer answer;

    ForwardingAnswer(RoutedAnswer answer) {
        this.answer = answer;
    }

    /** Returns the answer that this one stands for. */
    final RoutedAnswer answer() {
        return answer;
    }

    @Override
    public final int status() {
        return answer.status();
    }

    @Override
    public final List<HeaderField> headers() {
        return answer.headers();
    }

    @Override
    public final Executed executed() {
        return answer.executed();
    }

    @Override
    public void discard() {
        answer.discard();
    }
}
