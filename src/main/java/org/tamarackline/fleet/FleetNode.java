package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpExchange;

/**
 * Wires up one node of a fleet: accepts jobs from callers, answers other nodes, and leads while the store has this
 * node's leader record.
 */
public final class FleetNode {

    private final EventLoop loop;
    private final NodeSettings settings;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final ConfigurationFollower configuration;
    private final Election election;
    private final JobRequestHandler jobs;
    private final PeerRequestHandler peerHandler;
    private volatile boolean draining;

    /**
     * Creates a node; {@link #start} starts it.
     *
     * @param metricsText supplies the text of the metrics; called from any thread
     * @param incarnation number that distinguishes this process from earlier processes of the same node
     */
    public FleetNode(
            NodeServices services,
            ConfigurationSource configurationSource,
            AsyncHttpClient peerHttp,
            Supplier<String> metricsText,
            NodeSettings settings,
            long incarnation) {
        this.loop = services.loop();
        this.settings = settings;
        this.log = services.log();
        this.metrics = services.metrics();
        PeerCalls peers = new HttpPeerCalls(peerHttp, loop);
        StoreContact storeContact = new StoreContact(loop);
        RecordStore store = new MonitoredStore(services.store(), storeContact);
        this.configuration =
                new ConfigurationFollower(loop, store, configurationSource, log, metrics, new Random(incarnation));
        this.election = new Election(services.withStore(store), storeContact, peers, settings, incarnation);
        this.jobs = new JobRequestHandler(loop, store, storeContact, election, peers, metrics, services.timeOfDay());
        this.peerHandler = new PeerRequestHandler(loop, election, metricsText, this::stateJson);
    }

    /** Starts to read the configuration and to look for the leader. */
    public void start() {
        loop.execute(() -> {
            configuration.start();
            election.start();
            new LoopDelayProbe(loop, metrics, election::onLoopStep).start();
        });
    }

    /** Returns whether callers should connect to this node. */
    public boolean ready() {
        return !draining && configuration.current().version() > 0;
    }

    /** Returns the configuration in force on this node. */
    public FleetConfiguration configuration() {
        return configuration.current();
    }

    /** Records that a request matches no queue of a configuration. */
    public void onNoQueue(String path, FleetConfiguration used) {
        log.noQueue(path, used.version(), configuration.ageMs());
    }

    /** Returns the handler of requests from other nodes. */
    public Consumer<HttpExchange> peerHandler() {
        return peerHandler;
    }

    /** Stores a job; {@code callback} receives the result on the event loop. */
    public void submit(JobDefinition job, Consumer<SubmitResult> callback) {
        jobs.submit(job, outcome -> {
            SubmitResult result = resultOf(outcome);
            metrics.submitted(result);
            log.submitted(
                    job.id(),
                    job.queue().name(),
                    configuration.current().version(),
                    configuration.ageMs(),
                    result.name(),
                    detailOf(outcome));
            callback.accept(result);
        });
    }

    /** Cancels a job; {@code callback} receives the result on the event loop. */
    public void cancel(String job, Consumer<SubmitResult> callback) {
        jobs.cancel(job, outcome -> {
            SubmitResult result = resultOf(outcome);
            log.cancelled(job, result.name(), detailOf(outcome));
            callback.accept(result);
        });
    }

    /** Looks up the state of a job; {@code callback} receives the result on the event loop. */
    public void state(String job, Consumer<StateResult> callback) {
        jobs.state(job, lookup -> {
            if (lookup.failure() != null) {
                log.stateRequestFailed(job, "UNAVAILABLE", lookup.failure());
                callback.accept(new StateResult(Optional.empty(), false));
                return;
            }
            if (lookup.state() == null) {
                log.stateRequestFailed(job, "NO_SUCH_JOB", "neither the leader nor the store has the job");
            }
            callback.accept(new StateResult(Optional.ofNullable(lookup.state()), true));
        });
    }

    /** Returns the number of queued jobs of a queue to {@code callback}; empty if it is currently not known. */
    public void queuedJobCount(String queue, Consumer<Optional<Integer>> callback) {
        jobs.queuedJobCount(queue, callback);
    }

    /** Stops accepting connections and resigns if this node leads; {@code callback} runs once a successor may lead. */
    public void drain(Runnable callback) {
        draining = true;
        loop.execute(() -> election.resign(callback));
    }

    private static SubmitResult resultOf(JobRequestHandler.Outcome outcome) {
        return switch (outcome) {
            case JobRequestHandler.Outcome.Accepted accepted -> SubmitResult.ACCEPTED;
            case JobRequestHandler.Outcome.Unavailable unavailable -> SubmitResult.UNAVAILABLE;
            case JobRequestHandler.Outcome.Undetermined undetermined -> SubmitResult.UNDETERMINED;
            case JobRequestHandler.Outcome.TooLarge tooLarge -> SubmitResult.TOO_LARGE;
            case JobRequestHandler.Outcome.NoSuchJob none -> SubmitResult.NO_SUCH_JOB;
        };
    }

    private static String detailOf(JobRequestHandler.Outcome outcome) {
        return switch (outcome) {
            case JobRequestHandler.Outcome.Accepted accepted -> accepted.detail();
            case JobRequestHandler.Outcome.Unavailable unavailable -> unavailable.cause();
            case JobRequestHandler.Outcome.Undetermined undetermined -> undetermined.cause();
            case JobRequestHandler.Outcome.TooLarge tooLarge -> tooLarge.cause();
            case JobRequestHandler.Outcome.NoSuchJob none -> "the store does not have the job";
        };
    }

    /** Returns the state of the node as JSON. */
    private byte[] stateJson() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("node", settings.node());
            json.writeBooleanField("draining", draining);
            json.writeNumberField(
                    "configurationVersion", configuration.current().version());
            json.writeNumberField("configurationAgeMs", configuration.ageMs());
            json.writeStringField("leaderAddress", election.leaderAddress().orElse(""));
            if (election.leader().isPresent()) {
                Leader leader = election.leader().get();
                json.writeNumberField("epoch", leader.record().epoch());
                json.writeNumberField("openJobs", leader.fleet().jobs().openJobCount());
                json.writeNumberField("heldJobs", leader.fleet().jobs().held().count());
                json.writeNumberField("waitingTasks", leader.fleet().jobs().readyTaskCount());
                json.writeNumberField("unheardRunners", leader.fleet().unreportedRunners());
                json.writeNumberField("storeAgeMs", leader.storeAgeMs());
            }
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException("writing to a memory buffer failed", failure);
        }
        return bytes.toByteArray();
    }

    /** Result of a submission or cancellation. */
    public enum SubmitResult {
        /** The submission or cancellation is stored. */
        ACCEPTED,
        /** It is not stored and never will be; the caller may retry. */
        UNAVAILABLE,
        /** It may have been stored; the outcome is not known. */
        UNDETERMINED,
        /** The job is too large to be stored. */
        TOO_LARGE,
        /** There is no such job; if the request submits one, it was cancelled before and never runs. */
        NO_SUCH_JOB
    }

    /**
     * Result of a state request.
     *
     * @param state state of the job, empty if there is no such job or the state is not known
     * @param known whether an empty state means that there is no such job
     */
    public record StateResult(Optional<JobState> state, boolean known) {}
}
