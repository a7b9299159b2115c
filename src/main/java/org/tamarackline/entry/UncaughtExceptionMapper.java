package org.tamarackline.entry;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;

/** Maps every exception that a resource did not handle to an {@link ErrorResponse} without a stack trace. */
final class UncaughtExceptionMapper implements ExceptionMapper<Throwable> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Override
    public Response toResponse(Throwable failure) {
        if (failure instanceof WebApplicationException webException) {
            return mapWebException(webException);
        }
        Optional<BodyTooLargeException> bodyTooLarge = findBodyTooLarge(failure);
        if (bodyTooLarge.isPresent()) {
            String detail = bodyTooLarge.get().getMessage() + "; send a smaller body";
            return new ErrorResponse(ErrorCode.BODY_TOO_LARGE, detail, Executed.NO).toResponse();
        }
        if (failure instanceof JsonProcessingException malformed) {
            return new ErrorResponse(ErrorCode.BAD_REQUEST, describe(malformed), Executed.NO).toResponse();
        }
        LOGGER.atSevere().withCause(failure).log("request failed with an unhandled exception");
        String detail = "the node failed to handle the request; see its log for the cause";
        return new ErrorResponse(ErrorCode.INTERNAL, detail, Executed.UNKNOWN).toResponse();
    }

    private static Response mapWebException(WebApplicationException failure) {
        Response response = failure.getResponse();
        if (response.hasEntity()) {
            return response;
        }
        if (findBodyTooLarge(failure).isPresent()) {
            String detail = "the body is larger than allowed; send a smaller body";
            return new ErrorResponse(ErrorCode.BODY_TOO_LARGE, detail, Executed.NO).toResponse();
        }
        ErrorCode code = ErrorCode.ofStatus(response.getStatus());
        Executed executed = code == ErrorCode.INTERNAL ? Executed.UNKNOWN : Executed.NO;
        return new ErrorResponse(code, "the request cannot be handled: " + reasonPhrase(response), executed)
                .toResponse();
    }

    private static String reasonPhrase(Response response) {
        return response.getStatusInfo().getReasonPhrase();
    }

    /** Reports only the location of the error, because the original message quotes the body and names classes. */
    private static String describe(JsonProcessingException malformed) {
        String location = malformed.getLocation() == null
                ? ""
                : " at line %d, column %d"
                        .formatted(
                                malformed.getLocation().getLineNr(),
                                malformed.getLocation().getColumnNr());
        return "the body is not the expected JSON" + location;
    }

    private static Optional<BodyTooLargeException> findBodyTooLarge(Throwable failure) {
        Throwable current = failure;
        while (current != null) {
            if (current instanceof BodyTooLargeException bodyTooLarge) {
                return Optional.of(bodyTooLarge);
            }
            current = current.getCause();
        }
        return Optional.empty();
    }
}
