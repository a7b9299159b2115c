package org.tamarackline.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.HeldEnd;
import org.tamarackline.core.fleet.ImagePair;
import org.tamarackline.core.fleet.InterferenceEstimate;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against records that make a decoder fail other than by the exception that its callers handle. */
class RecordCodecTest {

    private interface Decoder {
        Object decode(byte[] bytes) throws CorruptRecordException;
    }

    private static final HeldEnd HELD_END = new HeldEnd(new TaskKey("j", 0, 1, 2), 30_001, EndReason.DONE, "c");

    private static final Map<String, Decoder> DECODERS = Map.of(
            "leader",
            RecordCodec::decodeLeader,
            "sequence",
            RecordCodec::decodeSequence,
            "estimates",
            RecordCodec::decodeInterferenceEstimates,
            "job",
            bytes -> RecordCodec.decodeJob("j", bytes),
            "progress",
            bytes -> ProgressCodec.decode("j", bytes),
            "roster",
            bytes -> RecordCodec.decodeRoster("r", bytes),
            "held end",
            bytes -> RecordCodec.decodeHeldEnd(RecordCodec.heldEndKey(HELD_END), bytes));

    private static final List<byte[]> VALID = List.of(
            RecordCodec.encodeLeader(new LeaderRecord(
                    3, "n", "10.0.0.1:1", 5, false, List.of(new LeaderRecord.EarlierLeader(2, "10.0.0.2:1")))),
            RecordCodec.encodeSequence(new CommitSequence(3, 2, 1)),
            RecordCodec.encodeInterferenceEstimates(Map.of(new ImagePair("a", "b"), new InterferenceEstimate(1, 1))),
            RecordCodec.encodeHeldEnd(HELD_END),
            RecordCodec.encodeFinishedJob(JobState.COMPLETED, 1),
            RecordCodec.encodeOpenJob(JobDefinitions.tasks("j", 2, 100)),
            ProgressCodec.encode(new JobProgress(
                    1, List.of(new JobProgress.TaskProgress(0, 0, 0, false, List.of(1L), "c", List.of("r"))))));

    private static void decodeAll(byte[] bytes) {
        DECODERS.forEach((name, decoder) -> {
            try {
                decoder.decode(bytes);
            } catch (CorruptRecordException expected) {
                assertThat(expected).hasMessageNotContaining("\n");
            }
        });
    }

    /** Guards against a node that cannot read the leader record of the version before or after its own. */
    @Test
    void leaderRecordIsReadWithoutItsLastFieldAndWithAnotherOne() throws CorruptRecordException {
        LeaderRecord record = new LeaderRecord(3, "n", "10.0.0.1:1", 5, false, List.of());
        byte[] bytes = RecordCodec.encodeLeader(record);
        assertThat(RecordCodec.decodeLeader(Arrays.copyOf(bytes, bytes.length - 1)))
                .isEqualTo(record);
        LeaderRecord resigned = record.asResigned(true, Optional.of("m"));
        byte[] resignedBytes = RecordCodec.encodeLeader(resigned);
        assertThat(RecordCodec.decodeLeader(Arrays.copyOf(resignedBytes, resignedBytes.length + 1)))
                .isEqualTo(resigned);
    }

    @Property(tries = 2_000)
    void randomBytesAreDecodedOrCorrupt(@ForAll @Size(max = 60) byte[] bytes) {
        decodeAll(bytes);
    }

    /** Changes single bytes of valid records, which reaches the numbers and the headers of lists inside them. */
    @Property(tries = 2_000)
    void changedRecordsAreDecodedOrCorrupt(
            @ForAll int record, @ForAll int position, @ForAll byte value, @ForAll @Size(max = 8) byte[] inserted) {
        byte[] valid = VALID.get(Math.floorMod(record, VALID.size()));
        int at = Math.floorMod(position, valid.length);
        byte[] changed = valid.clone();
        changed[at] = value;
        decodeAll(changed);
        byte[] longer = new byte[valid.length + inserted.length];
        System.arraycopy(valid, 0, longer, 0, at);
        System.arraycopy(inserted, 0, longer, at, inserted.length);
        System.arraycopy(valid, at, longer, at + inserted.length, valid.length - at);
        decodeAll(longer);
    }

    /** Guards against an end that is lost because a leader cannot read what another one has stored. */
    @Test
    void heldEndsAreDecodedAsTheyWereStored() throws CorruptRecordException {
        byte[] bytes = RecordCodec.encodeHeldEnd(HELD_END);
        assertThat(RecordCodec.decodeHeldEnd(RecordCodec.heldEndKey(HELD_END), bytes))
                .isEqualTo(HELD_END);
        assertThatThrownBy(() -> RecordCodec.decodeHeldEnd("!end/k.0.1.2/30001", bytes))
                .isInstanceOf(CorruptRecordException.class);
    }

    /** Guards against a finished job that callers see as held or queued for good. */
    @Test
    void finishedJobInAStateThatIsNotFinalIsCorrupt() {
        byte[] bytes = RecordCodec.encodeFinishedJob(JobState.HELD, 1);
        assertThatThrownBy(() -> RecordCodec.decodeJob("j", bytes)).isInstanceOf(CorruptRecordException.class);
    }

    /** Guards against estimates that no later measurement can correct, because they are not numbers. */
    @Test
    void estimatesThatAreNoFiniteNumbersAreCorrupt() {
        byte[] bytes = RecordCodec.encodeInterferenceEstimates(
                Map.of(new ImagePair("a", "b"), new InterferenceEstimate(Double.NaN, 1)));
        assertThatThrownBy(() -> RecordCodec.decodeInterferenceEstimates(bytes))
                .isInstanceOf(CorruptRecordException.class);
    }
}
