package org.tamarackline.load;

/**
 * Result of the demonstration.
 *
 * @param load measurements of the latency-critical requests
 * @param requests comparison of the requests with the histories of the runners
 * @param tasks comparison of the tasks with the runs of the workers
 * @param expectedRequests requests that were sent
 * @param expectedTasks tasks that were accepted
 */
record DemoResult(
        LoadResult load,
        HistoryCheck.RequestCounts requests,
        HistoryCheck.TaskCounts tasks,
        long expectedRequests,
        long expectedTasks) {

    /** Returns whether nothing was lost and nothing ran twice. A refused request does not count as lost. */
    boolean isCorrect() {
        return requests.isCorrect()
                && tasks.isCorrect()
                && load.count(RequestOutcome.Kind.MISMATCHED) == 0
                && load.count(RequestOutcome.Kind.BROKEN) == 0
                && load.count(RequestOutcome.Kind.ANSWERED) > 0
                && tasks.finished() == expectedTasks
                && tasks.evicted() == tasks.resumed();
    }
}
