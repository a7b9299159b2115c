package org.tamarackline.entry.operator;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.tamarackline.entry.Executed;

/** Maps a refused request to a response with its code and, after a version conflict, the current version. */
public final class OperatorExceptionMapper implements ExceptionMapper<OperatorException> {

    /**
     * Body of the response to a refused request.
     *
     * @param code stable error code for programs
     * @param detail what was wrong and how to correct it
     * @param executed whether the request was executed
     * @param currentVersion version of the configuration, only after a version conflict
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record OperatorErrorResponse(
            OperatorErrorCode code, String detail, Executed executed, Optional<Long> currentVersion) {}

    @Override
    public Response toResponse(OperatorException exception) {
        OperatorErrorResponse body = new OperatorErrorResponse(
                exception.code(), exception.getMessage(), exception.executed(), exception.currentVersion());
        return Response.status(exception.code().status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(Executed.HEADER, exception.executed().text())
                .entity(body)
                .build();
    }
}
