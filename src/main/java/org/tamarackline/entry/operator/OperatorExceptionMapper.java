package org.tamarackline.entry.operator;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.tamarackline.entry.Executed;

/** Answers a refused request with its code and, after a lost race, with the current version. */
public final class OperatorExceptionMapper implements ExceptionMapper<OperatorException> {

    /**
     * Body of a refusal.
     *
     * @param code stable code
     * @param detail what was wrong and how to correct it
     * @param executed whether the request took effect
     * @param currentVersion version of the configuration, after a lost race only
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
