package org.tamarackline.core.fleet;

/**
 * A queue that callers submit jobs to.
 *
 * @param name name of the queue
 * @param host host name that callers address
 * @param pathPrefix prefix of the paths that belong to the queue
 * @param service service whose runners run the tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts number of failed runs after which a task has failed
 * @param objectiveStretch part of the latency objective that is a multiple of the job's critical path
 * @param objectiveBaseMs constant part of the latency objective, in milliseconds
 * @param requiresPlacementTicket whether starts need a ticket from the service that decides where a step may run
 */
public record QueueDefinition(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double objectiveStretch,
        long objectiveBaseMs,
        boolean requiresPlacementTicket) {

    /** Largest number of a priority. */
    public static final int LOWEST_PRIORITY = 9;
}
