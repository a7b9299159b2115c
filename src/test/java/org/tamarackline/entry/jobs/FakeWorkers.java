package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.worker.WorkerException;
import org.tamarackline.worker.WorkerGateway;
import org.tamarackline.worker.WorkerOutcomeUnknownException;
import org.tamarackline.worker.WorkerRefusedException;
import org.tamarackline.worker.WorkerUnreachableException;

/** Gateway to in-memory workers that injects faults into the calls. The address of a worker is its identifier. */
final class FakeWorkers implements WorkerGateway {

    private final Map<String, FakeWorker> workers = new HashMap<>();
    private final Map<String, Long> checkpoints = new HashMap<>();
    final List<FakeWorker.TaskRun> history = new ArrayList<>();
    final Set<String> silent = new HashSet<>();
    final Set<String> unreachable = new HashSet<>();
    private final List<StartRequest> delayedStarts = new ArrayList<>();
    private final List<String> delayedStartAddresses = new ArrayList<>();
    private final List<RenewRequest> delayedRenewals = new ArrayList<>();
    private final List<String> delayedRenewalAddresses = new ArrayList<>();
    /** Called after each start that a worker accepted. */
    BiConsumer<FakeWorker, StartRequest> onStarted = (worker, request) -> {};
    /** Called before each stop. */
    BiConsumer<FakeWorker, TaskCommand> onStop = (worker, command) -> {};

    boolean delayNextStart;
    boolean delayNextRenewal;
    boolean loseNextResponse;
    /** Number of next responses to starts that are lost. */
    int startResponsesToLose;
    /** Number of starts that cannot be sent, once no more responses to starts are lost. */
    int startsNotSent;
    /** Whether start requests are lost before they reach a worker. */
    boolean dropStarts;

    FakeWorker add(String id, Resources capacity, MonotonicClock clock, FakeWorker.Defect defect) {
        FakeWorker worker = new FakeWorker(id, capacity, clock, checkpoints, history, defect);
        workers.put(id, worker);
        return worker;
    }

    FakeWorker get(String id) {
        return workers.get(id);
    }

    List<FakeWorker> all() {
        return List.copyOf(workers.values());
    }

    /** Delivers the delayed requests to workers whose state may have changed in the meantime. */
    void deliverDelayed() {
        for (int i = 0; i < delayedRenewals.size(); i++) {
            RenewRequest request = delayedRenewals.get(i);
            deliver(delayedRenewalAddresses.get(i), worker -> worker.renew(request));
        }
        delayedRenewals.clear();
        delayedRenewalAddresses.clear();
        for (int i = 0; i < delayedStarts.size(); i++) {
            StartRequest request = delayedStarts.get(i);
            deliver(delayedStartAddresses.get(i), worker -> start(worker, request));
        }
        delayedStarts.clear();
        delayedStartAddresses.clear();
    }

    private <T> void deliver(String address, WorkerCall<T> call) {
        if (silent.contains(address)) {
            return;
        }
        try {
            call.apply(workers.get(address));
        } catch (WorkerRefusedException e) {
            // The sender no longer waits for the response.
        }
    }

    private boolean start(FakeWorker worker, StartRequest request) throws WorkerRefusedException {
        if (worker.start(request)) {
            onStarted.accept(worker, request);
        }
        return true;
    }

    /** Replaces a worker by one without state, as after a restart of its VM. */
    void restart(String address) {
        workers.compute(address, (id, worker) -> worker.createRestarted());
    }

    @FunctionalInterface
    private interface WorkerCall<T> {
        T apply(FakeWorker worker) throws WorkerRefusedException;
    }

    private <T> T call(String address, WorkerCall<T> call) throws WorkerException {
        if (unreachable.contains(address)) {
            throw new WorkerUnreachableException("worker is unreachable", null);
        }
        if (silent.contains(address)) {
            throw new WorkerOutcomeUnknownException("worker is silent", null);
        }
        T response = call.apply(workers.get(address));
        if (loseNextResponse) {
            loseNextResponse = false;
            throw new WorkerOutcomeUnknownException("response was lost", null);
        }
        return response;
    }

    @Override
    public RenewResponse renew(String address, RenewRequest request) throws WorkerException {
        if (delayNextRenewal) {
            delayNextRenewal = false;
            delayedRenewals.add(request);
            delayedRenewalAddresses.add(address);
            throw new WorkerOutcomeUnknownException("renewal is delayed", null);
        }
        return call(address, worker -> worker.renew(request));
    }

    @Override
    public void start(String address, StartRequest request) throws WorkerException {
        if (delayNextStart) {
            delayNextStart = false;
            delayedStarts.add(request);
            delayedStartAddresses.add(address);
            throw new WorkerOutcomeUnknownException("start is delayed", null);
        }
        if (dropStarts) {
            throw new WorkerOutcomeUnknownException("start was lost", null);
        }
        if (startResponsesToLose == 0 && startsNotSent > 0) {
            startsNotSent--;
            throw new WorkerUnreachableException("connection for the start was refused", null);
        }
        call(address, worker -> start(worker, request));
        if (startResponsesToLose > 0) {
            startResponsesToLose--;
            throw new WorkerOutcomeUnknownException("response to the start was lost", null);
        }
    }

    @Override
    public TaskReport checkpoint(String address, TaskCommand command) throws WorkerException {
        return call(address, worker -> worker.checkpoint(command));
    }

    @Override
    public TaskReport throttle(String address, TaskCommand command) throws WorkerException {
        return call(address, worker -> worker.throttle(command));
    }

    @Override
    public TaskReport stop(String address, TaskCommand command) throws WorkerException {
        return call(address, worker -> {
            onStop.accept(worker, command);
            return worker.stop(command);
        });
    }

    @Override
    public void forget(String address, TaskCommand command) throws WorkerException {
        call(address, worker -> {
            worker.forget(command);
            return true;
        });
    }
}
