package org.tamarackline.entry.jobs;

import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.JobId;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;

/** HTTP resource for jobs. Callers see only their own jobs, and every failure is reported with a {@link JobErrorCode}. */
@Path("/jobs")
@Produces(MediaType.APPLICATION_JSON)
public final class JobResource {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String EXECUTED_HEADER = "Tamarackline-Executed";
    private static final String BEARER_PREFIX = "Bearer ";

    private final JobService jobs;
    private final SubmissionParser parser;
    private final Map<CallerName, Secret> tokens;

    @Inject
    JobResource(JobService jobs, EntrySettings settings) {
        this.jobs = jobs;
        this.parser = new SubmissionParser(settings.jobs().tasksPerJob());
        this.tokens = settings.callerTokens();
    }

    /**
     * Body of an error response.
     *
     * @param code stable code
     * @param detail what was wrong and how to correct it
     * @param executed {@code no} if the request had no effect, {@code unknown} if it may have had one
     */
    public record ErrorBody(JobErrorCode code, String detail, String executed) {}

    @FunctionalInterface
    private interface CallerAction {
        Response run(CallerName caller) throws JobRefusedException, IOException;
    }

    /** Submits a job. */
    @POST
    public Response submit(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
            @HeaderParam(IDEMPOTENCY_KEY_HEADER) String key,
            InputStream body) {
        return respond(authorization, caller -> {
            Submission submission = parser.parse(readBody(body), Optional.ofNullable(key));
            return Response.status(Response.Status.CREATED)
                    .entity(jobs.submit(caller, submission))
                    .build();
        });
    }

    /** Returns a job. */
    @GET
    @Path("/{id}")
    public Response get(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
        return respond(
                authorization,
                caller -> Response.ok(jobs.get(caller, jobId(id))).build());
    }

    /** Cancels a job; its tasks may still run when the response is sent. */
    @DELETE
    @Path("/{id}")
    public Response cancel(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
        return respond(
                authorization,
                caller -> Response.accepted(jobs.cancel(caller, jobId(id))).build());
    }

    /** Returns the result of one task. */
    @GET
    @Path("/{id}/result/{index}")
    public Response result(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
            @PathParam("id") String id,
            @PathParam("index") String index) {
        return respond(authorization, caller -> {
            byte[] content = jobs.result(caller, jobId(id), taskIndex(index));
            return Response.ok(content, MediaType.APPLICATION_OCTET_STREAM).build();
        });
    }

    private Response respond(String authorization, CallerAction action) {
        try {
            return action.run(authenticate(authorization));
        } catch (JobRefusedException e) {
            return errorResponse(e);
        } catch (IOException e) {
            return errorResponse(new JobRefusedException(JobErrorCode.INVALID_REQUEST, "the body could not be read"));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("job request failed");
            return errorResponse(new JobRefusedException(
                    JobErrorCode.OUTCOME_UNKNOWN,
                    "the node failed to process the request",
                    JobRefusedException.Executed.UNKNOWN));
        }
    }

    private CallerName authenticate(String authorization) throws JobRefusedException {
        if (authorization != null && authorization.startsWith(BEARER_PREFIX)) {
            String token = authorization.substring(BEARER_PREFIX.length());
            Optional<CallerName> caller = tokens.entrySet().stream()
                    .filter(entry -> entry.getValue().matches(token))
                    .map(Map.Entry::getKey)
                    .findFirst();
            if (caller.isPresent()) {
                return caller.get();
            }
        }
        throw new JobRefusedException(
                JobErrorCode.UNAUTHORIZED, "send the caller's token in the header Authorization: Bearer");
    }

    private static byte[] readBody(InputStream body) throws JobRefusedException, IOException {
        byte[] bytes = body.readNBytes(SubmissionParser.MAX_BODY_BYTES + 1);
        if (bytes.length > SubmissionParser.MAX_BODY_BYTES) {
            throw new JobRefusedException(
                    JobErrorCode.BODY_TOO_LARGE,
                    "the body is longer than %d bytes".formatted(SubmissionParser.MAX_BODY_BYTES));
        }
        return bytes;
    }

    private static JobId jobId(String text) throws JobRefusedException {
        if (!Identifiers.isValid(text)) {
            throw new JobRefusedException(JobErrorCode.NOT_FOUND, "the job does not exist");
        }
        return new JobId(text);
    }

    private static int taskIndex(String text) throws JobRefusedException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new JobRefusedException(JobErrorCode.NOT_FOUND, "the task index must be a whole number from 0");
        }
    }

    private static Response errorResponse(JobRefusedException refusal) {
        String executed = refusal.executed().name().toLowerCase(Locale.ROOT);
        return Response.status(refusal.code().status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(EXECUTED_HEADER, executed)
                .entity(new ErrorBody(refusal.code(), refusal.getMessage(), executed))
                .build();
    }
}
