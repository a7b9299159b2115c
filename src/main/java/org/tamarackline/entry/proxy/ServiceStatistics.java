package org.tamarackline.entry.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.routing.RetryBudget;
import org.tamarackline.core.routing.ServiceTimeAverage;
import org.tamarackline.settings.EntrySettings;

/** Measures the mean service time of each service and keeps its retry budget. Thread-safe. */
@Singleton
public final class ServiceStatistics {

    private final EntrySettings settings;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<ServiceName, Entry> entries = new HashMap<>();

    /** Creates empty statistics. */
    @Inject
    public ServiceStatistics(EntrySettings settings) {
        this.settings = settings;
    }

    private record Entry(ServiceTimeAverage averageTime, RetryBudget retryBudget) {}

    /** Records the time from the start of an attempt to the end of its response. */
    public void recordServiceTime(ServiceName service, long nanos) {
        lock.lock();
        try {
            entryOf(service).averageTime().record(nanos);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the measured mean time of the service's requests, 0 if unknown. */
    public long meanServiceTimeNanos(ServiceName service) {
        lock.lock();
        try {
            return entryOf(service).averageTime().meanNanos();
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request for the retry budget of its service. */
    public void recordRequest(ServiceName service) {
        lock.lock();
        try {
            entryOf(service).retryBudget().recordRequest();
        } finally {
            lock.unlock();
        }
    }

    /** Takes a retry from the budget of the service. Returns false if the budget is used up. */
    public boolean tryAcquireRetry(ServiceName service) {
        lock.lock();
        try {
            return entryOf(service).retryBudget().tryAcquire();
        } finally {
            lock.unlock();
        }
    }

    private Entry entryOf(ServiceName service) {
        return entries.computeIfAbsent(
                service,
                name -> new Entry(
                        new ServiceTimeAverage(),
                        new RetryBudget(settings.requests().retryPercent())));
    }
}
