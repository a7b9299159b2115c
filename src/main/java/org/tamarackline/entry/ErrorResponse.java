package org.tamarackline.entry;

import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/**
 * Body of an error answer.
 *
 * @param code stable code
 * @param detail what was wrong and how to correct it
 * @param executed whether the request was run
 */
public record ErrorResponse(ErrorCode code, String detail, Executed executed) {

    /** Returns the answer as a response with the status of its code. */
    public Response toResponse() {
        return Response.status(code.status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(Executed.HEADER, executed.text())
                .entity(this)
                .build();
    }
}
