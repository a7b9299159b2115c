package org.tamarackline.entry.proxy;

import java.util.List;

/**
 * A request as it is sent to a runner.
 *
 * @param method HTTP method
 * @param target path and query as received, starting with a slash
 * @param headers end-to-end headers
 * @param body body to stream
 */
public record UpstreamRequest(String method, String target, List<HeaderField> headers, RequestBody body) {

    /** Creates a request that later changes of the arguments do not affect. */
    public UpstreamRequest {
        headers = List.copyOf(headers);
    }
}
