package org.tamarackline.entry.jobs;

import java.util.Optional;

import com.google.inject.Inject;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.peer.JobMessage;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessage;

/** Handles the job messages of other nodes, and those that this node sends to itself. */
final class JobMessageHandler implements PeerHandler {

    private final RackManager racks;
    private final RackLoadCache loads;

    @Inject
    JobMessageHandler(RackManager racks, RackLoadCache loads) {
        this.racks = racks;
        this.loads = loads;
    }

    @Override
    public Optional<PeerMessage> handle(NodeId sender, PeerMessage request) {
        return request instanceof JobMessage message ? respond(message) : Optional.empty();
    }

    private Optional<PeerMessage> respond(JobMessage message) {
        return switch (message) {
            case JobMessages.SubmitJob submit -> Optional.of(submit(submit));
            case JobMessages.JobStatusRequest job -> Optional.of(racks.jobStatus(job.job()));
            case JobMessages.TaskStatusRequest task -> Optional.of(racks.taskStatus(task.task()));
            case JobMessages.CancelJob cancel -> {
                racks.cancel(cancel.job());
                yield Optional.of(new PeerMessage.Ok());
            }
            case JobMessages.LoadsRequest request -> Optional.of(new JobMessages.LoadsResponse(loads.owned()));
            case JobMessages.UsageRequest request -> Optional.of(new JobMessages.UsageResponse(racks.usage()));
            case JobMessages.RowsMoved moved -> {
                racks.requestRescan(moved.shard());
                yield Optional.of(new PeerMessage.Ok());
            }
            default -> Optional.empty();
        };
    }

    private PeerMessage submit(JobMessages.SubmitJob submit) {
        try {
            racks.submit(submit.shard(), submit.job());
            return new PeerMessage.Ok();
        } catch (JobRefusedException e) {
            return new JobMessages.SubmitRefused(e.code(), e.getMessage(), e.executed());
        }
    }
}
