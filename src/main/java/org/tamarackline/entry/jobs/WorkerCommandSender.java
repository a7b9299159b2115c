package org.tamarackline.entry.jobs;

import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.task.CommandOutcome;
import org.tamarackline.core.task.Renewal;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.WorkerCommand;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.worker.WorkerException;
import org.tamarackline.worker.WorkerGateway;
import org.tamarackline.worker.WorkerOutcomeUnknownException;
import org.tamarackline.worker.WorkerRefusedException;
import org.tamarackline.worker.WorkerUnreachableException;

/**
 * Sends lease renewals and commands to the workers of one rack. Before each send, it checks that this node still owns the
 * rack and that its membership status allows the command.
 */
final class WorkerCommandSender {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int FULL_SPEED_PERCENT = 100;

    private final ShardId shard;
    private final Epoch epoch;
    private final JobsContext context;

    WorkerCommandSender(ShardId shard, Epoch epoch, JobsContext context) {
        this.shard = shard;
        this.epoch = epoch;
        this.context = context;
    }

    /**
     * Sends a renewal and returns the response, empty if there was none. An {@code address} of null means an unknown
     * address.
     */
    Optional<RenewResponse> renew(String address, Renewal renewal) {
        if (address == null || !maySend(false)) {
            return Optional.empty();
        }
        long leaseMs = context.settings().jobs().taskLease().toMillis();
        try {
            return Optional.of(
                    context.gateway().renew(address, new RenewRequest(shard, epoch, renewal.nonce(), leaseMs)));
        } catch (WorkerException e) {
            LOG.atFine().withCause(e).log("renewal of worker %s failed", renewal.worker());
            return Optional.empty();
        }
    }

    /** Sends a command and returns its outcome. An {@code address} of null means an unknown address. */
    CommandOutcome send(String address, WorkerCommand command) {
        if (address == null || !maySend(needsConfirmation(command))) {
            return new CommandOutcome.NotSent();
        }
        try {
            return execute(address, command);
        } catch (WorkerException e) {
            LOG.atFine().withCause(e).log("command for task %s failed", command.task());
            return outcomeOf(e);
        }
    }

    private static boolean needsConfirmation(WorkerCommand command) {
        return command instanceof WorkerCommand.Start || command instanceof WorkerCommand.Checkpoint;
    }

    /** Checked immediately before the send and after any wait, so that a paused process does not act on an expired lease. */
    private boolean maySend(boolean requireConfirmed) {
        MembershipStatus membershipStatus = context.cluster().membershipStatus();
        boolean statusSuffices = requireConfirmed
                ? membershipStatus == MembershipStatus.CONFIRMED
                : membershipStatus != MembershipStatus.ISOLATED;
        return statusSuffices && context.cluster().ownedEpoch(shard).equals(Optional.of(epoch));
    }

    private CommandOutcome execute(String address, WorkerCommand command) throws WorkerException {
        WorkerGateway gateway = context.gateway();
        return switch (command) {
            case WorkerCommand.Start start -> {
                gateway.start(address, startRequest(start));
                yield new CommandOutcome.Accepted(Optional.empty());
            }
            case WorkerCommand.Checkpoint checkpoint ->
                new CommandOutcome.Accepted(Optional.of(gateway.checkpoint(address, taskCommand(command))));
            case WorkerCommand.Stop stop ->
                new CommandOutcome.Accepted(Optional.of(gateway.stop(address, taskCommand(command))));
            case WorkerCommand.Throttle throttle ->
                new CommandOutcome.Accepted(Optional.of(gateway.throttle(address, taskCommand(command))));
            case WorkerCommand.Forget forget -> {
                gateway.forget(address, taskCommand(command));
                yield new CommandOutcome.Accepted(Optional.empty());
            }
        };
    }

    private StartRequest startRequest(WorkerCommand.Start start) {
        TaskRow row = start.row();
        return new StartRequest(
                shard,
                epoch,
                row.task(),
                row.attempt(),
                row.spec().command(),
                row.spec().resources(),
                row.checkpointKey(),
                start.checkpointAllowed());
    }

    private TaskCommand taskCommand(WorkerCommand command) {
        int percent = command instanceof WorkerCommand.Throttle throttle ? throttle.percent() : FULL_SPEED_PERCENT;
        return new TaskCommand(shard, epoch, command.task(), command.attempt(), percent);
    }

    private static CommandOutcome outcomeOf(WorkerException failure) {
        return switch (failure) {
            case WorkerRefusedException refused -> new CommandOutcome.Refused(refused.code());
            case WorkerUnreachableException unreachable -> new CommandOutcome.NotSent();
            case WorkerOutcomeUnknownException unknown -> new CommandOutcome.Unknown();
        };
    }
}
