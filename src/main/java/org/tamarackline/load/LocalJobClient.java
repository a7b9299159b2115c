package org.tamarackline.load;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;

/** Submits and polls jobs of a local cluster through the caller port of an entry node. */
public final class LocalJobClient {

    private final JsonHttpClient http;
    private final String callerUrl;
    private final Optional<String> token;

    /** Creates a client that sends its requests to the given node. */
    public LocalJobClient(LocalCluster cluster, int node) {
        http = cluster.http();
        callerUrl = cluster.entryAddresses().get(node).callerUrl();
        token = Optional.of(cluster.credentials().callerToken());
    }

    /**
     * A job to submit.
     *
     * @param team name of the team
     * @param profile name of the profile
     * @param tasks number of tasks
     * @param workMs work of each task in milliseconds
     * @param resources declared resources of each task
     */
    public record JobRequest(String team, String profile, int tasks, long workMs, Resources resources) {}

    /**
     * Submits a job.
     *
     * @return identifier of the job, empty if it was refused
     */
    public Optional<JobId> submit(JobRequest job) throws IOException, InterruptedException {
        Map<String, Object> body = Map.of(
                "team", job.team(),
                "profile", job.profile(),
                "tasks", job.tasks(),
                "command", Map.of("workMs", job.workMs()),
                "resources", job.resources());
        JsonHttpClient.JsonResponse response = http.send("POST", callerUrl + "/jobs", token, Optional.of(body));
        return response.isSuccess()
                ? Optional.of(new JobId(response.body().path("id").asText()))
                : Optional.empty();
    }

    /** Returns the number of tasks of the job that are in the given state. */
    public int taskCount(JobId job, String state) throws IOException, InterruptedException {
        return jobStatus(job).path("counts").path(state).asInt(0);
    }

    /** Returns whether every task of the job has finished. */
    public boolean isDone(JobId job) throws IOException, InterruptedException {
        return jobStatus(job).path("state").asText("").equals("DONE");
    }

    private JsonNode jobStatus(JobId job) throws IOException, InterruptedException {
        return http.send("GET", callerUrl + "/jobs/" + job.value(), token, Optional.empty())
                .body();
    }
}
