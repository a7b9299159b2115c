package org.tamarackline.entry.proxy;

/** What the use of a slot showed about its runner; reported to the owner, which ejects runners that fail often. */
public enum RunnerOutcome {
    /** The runner responded with a status below 500. */
    ANSWERED,
    /** The runner could not be reached, broke the connection, did not respond in time or responded with a 5xx status. */
    FAILED,
    /** The runner announced that it accepts no new requests. */
    LEAVING,
    /** No conclusion: the request was not sent, or was ended too early to judge the runner. */
    NOT_JUDGED
}
