package org.tamarackline.worker;

import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;

/** Sends commands to workers. Each call returns or fails within a timeout and is not retried. */
public interface WorkerGateway {

    /** Renews the lease of the worker at {@code address}, an IP address and port. */
    RenewResponse renew(String address, RenewRequest request) throws WorkerException;

    /** Starts a task. Repeating an accepted start is harmless. */
    void start(String address, StartRequest request) throws WorkerException;

    /** Checkpoints a task and returns its state, with the key of the checkpoint. */
    TaskReport checkpoint(String address, TaskCommand command) throws WorkerException;

    /** Limits the speed of a task. */
    TaskReport throttle(String address, TaskCommand command) throws WorkerException;

    /** Stops a task; the worker refuses later starts of this attempt and all lower ones. */
    TaskReport stop(String address, TaskCommand command) throws WorkerException;

    /** Removes an ended task from the worker's list. */
    void forget(String address, TaskCommand command) throws WorkerException;
}
