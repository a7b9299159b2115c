package org.tamarackline.worker;

import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;

/** Sends commands to workers. Every call returns or fails within a bound; none is retried. */
public interface WorkerGateway {

    /** Renews the lease of the worker at {@code address}, an IP number and port. */
    RenewResponse renew(String address, RenewRequest request) throws WorkerException;

    /** Starts a task. Repeating an accepted start is harmless. */
    void start(String address, StartRequest request) throws WorkerException;

    /** Writes a checkpoint of a task and returns the task's state, with the key of the checkpoint. */
    TaskReport checkpoint(String address, TaskCommand command) throws WorkerException;

    /** Changes the speed of a task. */
    TaskReport throttle(String address, TaskCommand command) throws WorkerException;

    /** Stops a task and forbids the attempt and all lower ones. */
    TaskReport stop(String address, TaskCommand command) throws WorkerException;

    /** Drops a task that ended from the worker's list. */
    void forget(String address, TaskCommand command) throws WorkerException;
}
