package org.tamarackline.entry.jobs;

import java.util.Optional;

import com.google.inject.Inject;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.peer.JobMessage;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessage;

/** Answers the messages about jobs of other nodes, and of this node to itself. */
final class JobPeerHandler implements PeerHandler {

    private final RackManager racks;
    private final RackLoads loads;

    @Inject
    JobPeerHandler(RackManager racks, RackLoads loads) {
        this.racks = racks;
        this.loads = loads;
    }

    @Override
    public Optional<PeerMessage> handle(NodeId sender, PeerMessage request) {
        return request instanceof JobMessage message ? answer(message) : Optional.empty();
    }

    private Optional<PeerMessage> answer(JobMessage message) {
        return switch (message) {
            case JobMessages.SubmitJob submit -> Optional.of(submit(submit));
            case JobMessages.JobStatus status -> Optional.of(racks.jobStatus(status.job()));
            case JobMessages.TaskQuery query -> Optional.of(racks.taskStatus(query.task()));
            case JobMessages.CancelJob cancel -> {
                racks.cancel(cancel.job());
                yield Optional.of(new PeerMessage.Ok());
            }
            case JobMessages.AskLoads ask -> Optional.of(new JobMessages.Loads(loads.own()));
            case JobMessages.AskUsage ask -> Optional.of(new JobMessages.Usage(racks.usage()));
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
