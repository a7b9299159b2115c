package org.tamarackline.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reports errors that Jetty detects itself, such as malformed or oversized headers, in the form of {@link ErrorResponse}. */
final class JsonErrorHandler implements Request.Handler {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ErrorCode code = ErrorCode.ofStatus(response.getStatus());
        Executed executed = code == ErrorCode.INTERNAL ? Executed.UNKNOWN : Executed.NO;
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(Executed.HEADER, executed.text());
        String body = "{\"code\":\"%s\",\"detail\":\"%s\",\"executed\":\"%s\"}"
                .formatted(code, detail(code), executed.text());
        response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }

    private static String detail(ErrorCode code) {
        return switch (code) {
            case HEADERS_TOO_LARGE -> "the headers are larger than allowed; send smaller ones";
            case PATH_TOO_LONG -> "the path is longer than allowed";
            case METHOD_NOT_ALLOWED -> "the method is not supported";
            case DRAINING -> "the node is shutting down; send the request to another node";
            case INTERNAL -> "the node failed to handle the request; see its log for the cause";
            default -> "the request is not valid HTTP";
        };
    }
}
