package org.tamarackline.entry.jobs;

import java.util.concurrent.Executor;

/**
 * Where the work of this package runs.
 *
 * @param loop runs one action at a time, in order; all state of the runners is used there only
 * @param blockingCalls runs calls that wait for the platform, workers or peers
 */
record JobExecutors(Executor loop, Executor blockingCalls) {}
