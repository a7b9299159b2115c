package org.tamarackline.core.idempotency;

import java.util.List;

/**
 * The head of a recorded response. The body is stored in separate rows, because a row holds at most 64 KB.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param bodyParts number of rows that hold the body
 */
public record RecordedResponse(int status, List<RecordedHeader> headers, int bodyParts) {

    /** Creates a response that later changes of the arguments do not affect. */
    public RecordedResponse {
        headers = List.copyOf(headers);
    }

    /**
     * One header line.
     *
     * @param name name of the header
     * @param value value of the header
     */
    public record RecordedHeader(String name, String value) {}
}
