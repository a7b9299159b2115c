package org.tamarackline.entry;

import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/**
 * Body of an error response to a caller or an operator.
 *
 * @param code stable error code for programs
 * @param detail what was wrong and how to correct it
 * @param executed whether the request was executed
 */
public record ErrorResponse(ErrorCode code, String detail, Executed executed) {

    /** Returns the HTTP response with this body and the status of its code. */
    public Response toResponse() {
        return Response.status(code.status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(Executed.HEADER, executed.text())
                .entity(this)
                .build();
    }
}
