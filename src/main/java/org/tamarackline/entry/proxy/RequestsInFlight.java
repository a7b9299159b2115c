package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;

/** Counts the latency-critical requests that this node has not finished yet; a planned stop waits until there are none. */
@Singleton
public final class RequestsInFlight {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition noneInFlight = lock.newCondition();
    private int count;

    /** Creates the counter. */
    @Inject
    public RequestsInFlight() {}

    /** Returns the number of requests in flight. */
    public int count() {
        lock.lock();
        try {
            return count;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until no request is in flight.
     *
     * @return false if {@code timeout} passed first
     */
    public boolean awaitNone(Duration timeout) throws InterruptedException {
        long remainingNanos = timeout.toNanos();
        lock.lockInterruptibly();
        try {
            while (count > 0) {
                if (remainingNanos <= 0) {
                    return false;
                }
                remainingNanos = noneInFlight.awaitNanos(remainingNanos);
            }
            return true;
        } finally {
            lock.unlock();
        }
    }

    void begin() {
        lock.lock();
        try {
            count++;
        } finally {
            lock.unlock();
        }
    }

    void end() {
        lock.lock();
        try {
            count--;
            if (count == 0) {
                noneInFlight.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }
}
