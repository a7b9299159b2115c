package org.tamarackline.entry.proxy;

import java.util.List;

/**
 * An HTTP request as {@link UpstreamClient} sends it to a runner.
 *
 * @param method HTTP method
 * @param target path and query as received, starting with a slash
 * @param headers end-to-end headers
 * @param body body, streamed or buffered
 */
public record UpstreamRequest(String method, String target, List<HeaderField> headers, RequestBody body) {

    /** Copies the headers. */
    public UpstreamRequest {
        headers = List.copyOf(headers);
    }
}
