package org.tamarackline.entry.jobs;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.RackLoad;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.TaskSpec;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;
import org.tamarackline.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

class JobMessagesTest {

    private static final ShardId RACK = new ShardId("rack:a:1");
    private static final JobId JOB = new JobId("j1");

    static Stream<PeerMessage> messages() {
        TaskSpec spec = new TaskSpec(
                new CallerName("lianhua"),
                new TeamName("dyeing"),
                new ProfileName("overnight plan"),
                new Resources(1_000, 2_000, 1),
                JsonNodeFactory.instance.objectNode().put("workMs", 5));
        JobRow job = new JobRow(JOB, spec, 3, "digest", List.of(RACK), false, true);
        RackLoad load = new RackLoad(Resources.NONE, Resources.NONE, Resources.NONE, Resources.NONE, 4, true);
        return Stream.of(
                new JobMessages.SubmitJob(RACK, job),
                new JobMessages.SubmitRefused(JobErrorCode.NO_RACK, "no rack", JobRefusedException.Executed.UNKNOWN),
                new JobMessages.JobStatusRequest(JOB),
                new JobMessages.JobStatusResponse(
                        List.of(RACK), Map.of(TaskState.PARKED, 2), Map.of(ParkReason.POISON, 2)),
                new JobMessages.TaskStatusRequest(new TaskId(JOB, 2)),
                new JobMessages.TaskStatusResponse(
                        Optional.of(TaskState.DONE),
                        Optional.of(new TaskRow.Outcome(Optional.of("result/x"), Optional.of(0), 7))),
                new JobMessages.CancelJob(JOB),
                new JobMessages.LoadsRequest(),
                new JobMessages.LoadsResponse(List.of(new JobMessages.ShardLoad(RACK, load))),
                new JobMessages.UsageRequest(),
                new JobMessages.UsageResponse(List.of(new UsageSource.Line(
                        new UsageKey(new TeamName("dyeing"), UsageKey.Kind.TASKS, "overnight plan"),
                        new UsageTotals(1, 0, 5, 2, 0)))),
                new JobMessages.RowsMoved(RACK));
    }

    /** Guards against a message that one node can send and another node cannot read. */
    @ParameterizedTest
    @MethodSource("messages")
    void areReadAsTheyWereWritten(PeerMessage message) throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
        JobMessages.TYPES.forEach(type -> mapper.registerSubtypes(new NamedType(type.type(), type.name())));
        byte[] bytes = mapper.writerFor(PeerMessage.class).writeValueAsBytes(message);
        assertThat(mapper.readValue(bytes, PeerMessage.class)).isEqualTo(message);
    }
}
