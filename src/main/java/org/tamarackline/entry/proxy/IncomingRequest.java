package org.tamarackline.entry.proxy;

import java.util.List;
import java.util.Optional;

/**
 * A caller's request before its validation by {@link RequestValidator}.
 *
 * @param service name of the service as received
 * @param method HTTP method
 * @param target path after the service's name, and query
 * @param headers all headers
 * @param body body to stream
 */
public record IncomingRequest(
        String service, String method, String target, List<HeaderField> headers, RequestBody body) {

    /** Copies the headers. */
    public IncomingRequest {
        headers = List.copyOf(headers);
    }

    /** Returns the first value of a header, whose name is not case-sensitive. */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }
}
