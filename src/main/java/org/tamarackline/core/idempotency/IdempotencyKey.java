package org.tamarackline.core.idempotency;

import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ServiceName;

/**
 * Identifies a request that is executed at most once.
 *
 * @param service service to which the request is sent
 * @param caller caller that chose the key
 * @param value key that the caller chose
 */
public record IdempotencyKey(ServiceName service, CallerName caller, String value) {

    /** Prefix of the table keys of all idempotency records. */
    public static final String ROW_PREFIX = "idem/";

    /** Returns the key of the table row that holds the record. */
    public String rowKey() {
        return "%s%s/%s/%s".formatted(ROW_PREFIX, service, caller, value);
    }

    /** Returns the key of the table row that holds one part of the recorded body. */
    public String bodyRowKey(int part) {
        return "%s/body/%d".formatted(rowKey(), part);
    }
}
