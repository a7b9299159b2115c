package org.tamarackline.entry.jobs;

import java.util.concurrent.Executor;

/**
 * Executors of this package.
 *
 * @param loop runs one action at a time, in order; the state of racks is read and changed only there
 * @param blockingCalls runs calls that block on the platform, workers or peers
 */
record JobExecutors(Executor loop, Executor blockingCalls) {}
