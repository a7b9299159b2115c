package org.tamarackline.standin.worker;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

import org.tamarackline.core.task.WorkerProtocol.Refusal;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.standin.StandinExchange;
import org.tamarackline.standin.StandinFailure;
import org.tamarackline.standin.StandinJson;
import org.tamarackline.standin.StandinServer;
import org.tamarackline.store.HttpPlatformClient;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.PlatformUnavailableException;

/**
 * Stand-in for a worker: an HTTP server that handles worker commands by the rules of {@link WorkerModel} and stores
 * checkpoints and results, with fault switches.
 *
 * <p>In addition to the worker protocol it serves {@code PUT /standin/faults} and {@code GET /standin/history}, which
 * no fault affects. A task counts as running until its result is stored.
 */
public final class StandinWorker implements AutoCloseable {

    private static final Duration OBJECT_STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(20);
    private static final Duration UPLOAD_INTERVAL = Duration.ofMillis(50);

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private final WorkerModel model;
    private final HttpPlatformClient platform;
    private final ObjectStore objectStore;
    private final AtomicReference<WorkerFaults> faults = new AtomicReference<>(WorkerFaults.NONE);
    private final List<Thread> loops;
    private final StandinServer server;

    private StandinWorker(WorkerOptions options) throws Exception {
        model = new WorkerModel(
                options.capacity(),
                options.usageLag(),
                MonotonicClock.system(),
                () -> UUID.randomUUID().toString());
        platform = new HttpPlatformClient(options.platformUrl(), OBJECT_STORE_TIMEOUT);
        objectStore = platform.objects();
        server = StandinServer.start(options.address(), this::handle);
        loops = List.of(
                Thread.ofVirtual().unstarted(() -> runPeriodically(model::advance, ADVANCE_INTERVAL)),
                Thread.ofVirtual().unstarted(() -> runPeriodically(this::uploadPending, UPLOAD_INTERVAL)));
    }

    /**
     * Starts a worker.
     *
     * @throws Exception if the address cannot be bound
     */
    public static StandinWorker start(WorkerOptions options) throws Exception {
        StandinWorker worker = new StandinWorker(options);
        worker.loops.forEach(Thread::start);
        return worker;
    }

    /** Returns the IP address and port that the worker listens on. */
    public String address() {
        return server.address();
    }

    /** Replaces the fault switches. */
    public void setFaults(WorkerFaults newFaults) {
        faults.set(newFaults);
    }

    /** Returns every run since the worker started. */
    public List<RunInterval> history() {
        return model.history();
    }

    @Override
    public void close() throws IOException {
        loops.forEach(Thread::interrupt);
        server.close();
        platform.close();
    }

    private static void runPeriodically(Runnable step, Duration interval) {
        while (!Thread.currentThread().isInterrupted()) {
            step.run();
            try {
                Thread.sleep(interval);
            } catch (InterruptedException closed) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void handle(StandinExchange exchange) throws Exception {
        if (handleControl(exchange)) {
            return;
        }
        WorkerFaults current = faults.get();
        if (current.delayMs() > 0) {
            Thread.sleep(current.delayMs());
        }
        if (current.silent()) {
            return;
        }
        if (current.refuse()) {
            exchange.respondJson(UNAVAILABLE, StandinFailure.notApplied("all commands are refused by a fault switch"));
            return;
        }
        handleCommand(exchange);
    }

    private boolean handleControl(StandinExchange exchange) throws IOException {
        if (exchange.matches("PUT", "/standin/faults")) {
            setFaults(exchange.json(WorkerFaults.class));
            exchange.respondEmpty(NO_CONTENT);
        } else if (exchange.matches("GET", "/standin/history")) {
            exchange.respondJson(OK, history());
        } else {
            return false;
        }
        return true;
    }

    private void handleCommand(StandinExchange exchange) throws IOException {
        if (!exchange.method().equals("POST")) {
            exchange.respondJson(NOT_FOUND, StandinFailure.notApplied("commands must use the method POST"));
            return;
        }
        try {
            Object response = execute(exchange);
            if (shouldDropResponse()) {
                exchange.closeConnection();
                return;
            }
            exchange.respondJson(OK, response);
        } catch (CommandRefusedException refused) {
            Refusal refusal = refused.refusal();
            exchange.respondJson(httpStatus(refusal.code()), refusal);
        }
    }

    private Object execute(StandinExchange exchange) throws IOException, CommandRefusedException {
        return switch (exchange.rawPath()) {
            case "/renew" -> model.renew(exchange.json(RenewRequest.class));
            case "/tasks" -> start(exchange.json(StartRequest.class));
            case "/checkpoint" -> checkpoint(exchange.json(TaskCommand.class));
            case "/throttle" -> model.throttle(exchange.json(TaskCommand.class));
            case "/stop" -> model.stop(exchange.json(TaskCommand.class));
            case "/forget" -> model.forget(exchange.json(TaskCommand.class));
            default -> throw new IllegalArgumentException("unknown command path " + exchange.rawPath());
        };
    }

    private TaskReport start(StartRequest request) throws IOException, CommandRefusedException {
        if (faults.get().failStarts()) {
            return model.start(request, 0, Optional.of("all starts fail because of a fault switch"));
        }
        if (request.checkpointKey().isEmpty()) {
            return model.start(request, 0, Optional.empty());
        }
        Optional<byte[]> content;
        try {
            content = objectStore.get(request.checkpointKey().get());
        } catch (PlatformUnavailableException unavailable) {
            return model.start(request, 0, Optional.of("object store is unavailable"));
        }
        if (content.isEmpty()) {
            return model.start(request, 0, Optional.of("no checkpoint is stored under the requested key"));
        }
        Upload.StoredWork checkpoint = StandinJson.mapper().readValue(content.get(), Upload.StoredWork.class);
        return model.start(request, checkpoint.workDoneMs(), Optional.empty());
    }

    private TaskReport checkpoint(TaskCommand command) throws IOException, CommandRefusedException {
        Upload upload = model.checkpoint(command);
        try {
            storeUpload(upload);
        } catch (PlatformUnavailableException unavailable) {
            throw new CommandRefusedException(new Refusal(
                    RefusalCode.CHECKPOINT_FAILED,
                    "object store is unavailable; the task continues to run",
                    command.epoch()));
        }
        return model.report(command.taskId(), command.attempt())
                .orElseThrow(() -> new CommandRefusedException(new Refusal(
                        RefusalCode.UNKNOWN_TASK,
                        "the task was removed while the checkpoint was stored",
                        command.epoch())));
    }

    private void storeUpload(Upload upload) throws IOException, PlatformUnavailableException {
        objectStore.put(upload.key(), StandinJson.mapper().writeValueAsBytes(upload.content()));
        model.recordUpload(upload);
    }

    private void uploadPending() {
        for (Upload upload : model.pendingUploads()) {
            try {
                storeUpload(upload);
            } catch (PlatformUnavailableException | IOException retriedLater) {
                return;
            }
        }
    }

    private boolean shouldDropResponse() {
        WorkerFaults before = faults.getAndUpdate(
                current -> current.loseAnswers() > 0 ? current.withLoseAnswers(current.loseAnswers() - 1) : current);
        return before.loseAnswers() > 0;
    }

    private static int httpStatus(RefusalCode code) {
        return switch (code) {
            case FENCED, NO_LEASE, ATTEMPT_FORBIDDEN, OVER_CAPACITY, UNKNOWN_TASK -> CONFLICT;
            case START_FAILED -> UNPROCESSABLE;
            case CHECKPOINT_FAILED -> UNAVAILABLE;
            case INVALID -> BAD_REQUEST;
        };
    }
}
