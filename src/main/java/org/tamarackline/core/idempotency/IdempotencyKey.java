package org.tamarackline.core.idempotency;

import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ServiceName;

/**
 * Identifies a request that runs at most once.
 *
 * @param service service to be called
 * @param caller caller that chose the key
 * @param value key of the caller's choice
 */
public record IdempotencyKey(ServiceName service, CallerName caller, String value) {

    /** Start of the keys of all rows of this package. */
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
