package org.tamarackline.fleet;

import java.time.Duration;

/** Lease limits for tests of other classes. */
final class LeaseLimits {

    private LeaseLimits() {}

    /** Returns a limit that restricts no lease within a test. */
    static LeaseLimit distant(ManualLoop loop) {
        StoreClock storeClock = new StoreClock();
        storeClock.addReading(0, loop.nowNanos(), loop.nowNanos());
        LeaseLimit limit = new LeaseLimit(loop, storeClock);
        limit.onStored(Duration.ofDays(1).toMillis());
        return limit;
    }

    /** Returns a write as an earlier version of the program stored it. */
    static RecordStore.Write withoutLimit(RecordStore.Write write) {
        if (write.table() != RecordStore.Table.LEASES || !write.key().equals(LeaseLimitRecord.KEY)) {
            return write;
        }
        try {
            long epoch = RecordCodec.decodeLeaseLimit(write.value()).epoch();
            LeaseLimitRecord unknown = new LeaseLimitRecord(epoch, LeaseLimitRecord.UNKNOWN, 0);
            return new RecordStore.Write(write.table(), write.key(), RecordCodec.encodeLeaseLimit(unknown));
        } catch (CorruptRecordException corrupt) {
            throw new AssertionError(corrupt);
        }
    }
}
