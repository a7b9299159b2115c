package org.tamarackline.entry.proxy;

/** What one request showed about its runner. */
public enum RunnerOutcome {
    /** It answered. */
    ANSWERED,
    /** It could not be reached, broke the connection, stayed silent or answered that it fails. */
    FAILED,
    /** It says that it takes no new work. */
    LEAVING,
    /** Nothing: the request was not sent, or the caller gave up early. */
    NOT_JUDGED
}
