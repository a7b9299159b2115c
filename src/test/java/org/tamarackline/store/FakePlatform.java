package org.tamarackline.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.VmRecord;
import org.tamarackline.standin.platform.InMemoryTable;

/**
 * A platform in memory with fault switches. Safe for use by several threads.
 *
 * <p>The object store is reached through {@link #objects}, because its read has the same signature as the table's.
 */
public final class FakePlatform implements TableStore, VmDirectory {

    /** What happens to the next write. */
    private enum WriteFault {
        RESPONSE_LOST,
        APPLIED_BUT_UNKNOWN,
        NOT_APPLIED_BUT_UNKNOWN
    }

    private final InMemoryTable table = new InMemoryTable();
    private final Map<String, byte[]> objectContents = new TreeMap<>();
    private final List<VmRecord> vms = new ArrayList<>();
    private final List<WriteFault> nextWriteFaults = new ArrayList<>();
    private boolean down;
    private int reads;
    private int writes;

    /** Makes every call fail without effect, or lets calls succeed again. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Loses the answer of one more coming write, which takes effect and is settled by reading its token back. */
    public synchronized void loseNextResponse() {
        nextWriteFaults.add(WriteFault.RESPONSE_LOST);
    }

    /** Makes one more coming transaction take effect although its caller gets {@link OutcomeUnknownException}. */
    public synchronized void applyNextWithUnknownOutcome() {
        nextWriteFaults.add(WriteFault.APPLIED_BUT_UNKNOWN);
    }

    /** Makes one more coming transaction have no effect while its caller gets {@link OutcomeUnknownException}. */
    public synchronized void dropNextWithUnknownOutcome() {
        nextWriteFaults.add(WriteFault.NOT_APPLIED_BUT_UNKNOWN);
    }

    /** Replaces the list of VMs. */
    public synchronized void setVms(List<VmRecord> records) {
        vms.clear();
        vms.addAll(records);
    }

    /** Returns the number of reads that were answered. */
    public synchronized int reads() {
        return reads;
    }

    /** Returns the number of transactions and object writes that were received. */
    public synchronized int writes() {
        return writes;
    }

    @Override
    public synchronized Optional<Row> get(String key) throws PlatformUnavailableException {
        countRead();
        return table.get(key);
    }

    @Override
    public synchronized List<Row> scan(String prefix, String after, int limit) throws PlatformUnavailableException {
        countRead();
        return table.scan(prefix, after, limit);
    }

    @Override
    public synchronized void transact(TableTransaction transaction)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        checkAvailable();
        writes++;
        Optional<WriteFault> fault = nextFault();
        if (fault.equals(Optional.of(WriteFault.NOT_APPLIED_BUT_UNKNOWN))) {
            throw new OutcomeUnknownException(transaction.token(), null);
        }
        table.apply(transaction);
        if (fault.equals(Optional.of(WriteFault.APPLIED_BUT_UNKNOWN))) {
            throw new OutcomeUnknownException(transaction.token(), null);
        }
    }

    @Override
    public synchronized boolean wasApplied(String token) throws PlatformUnavailableException {
        countRead();
        return table.outcome(token).isPresent();
    }

    @Override
    public synchronized List<VmRecord> list() throws PlatformUnavailableException {
        countRead();
        return List.copyOf(vms);
    }

    /** Returns the object store, which shares the fault switches. */
    public ObjectStore objects() {
        return new FakeObjectStore();
    }

    private void countRead() throws PlatformUnavailableException {
        checkAvailable();
        reads++;
    }

    private void checkAvailable() throws PlatformUnavailableException {
        if (down) {
            throw new PlatformUnavailableException("the platform is down", null);
        }
    }

    private Optional<WriteFault> nextFault() {
        return nextWriteFaults.isEmpty() ? Optional.empty() : Optional.of(nextWriteFaults.removeFirst());
    }

    private final class FakeObjectStore implements ObjectStore {

        @Override
        public Optional<byte[]> get(String key) throws PlatformUnavailableException {
            synchronized (FakePlatform.this) {
                countRead();
                return Optional.ofNullable(objectContents.get(key)).map(byte[]::clone);
            }
        }

        @Override
        public void put(String key, byte[] content) throws PlatformUnavailableException {
            write(() -> objectContents.put(key, content.clone()));
        }

        @Override
        public void delete(String key) throws PlatformUnavailableException {
            write(() -> objectContents.remove(key));
        }

        private void write(Runnable change) throws PlatformUnavailableException {
            synchronized (FakePlatform.this) {
                checkAvailable();
                writes++;
                Optional<WriteFault> fault = nextFault();
                if (!fault.equals(Optional.of(WriteFault.NOT_APPLIED_BUT_UNKNOWN))) {
                    change.run();
                }
                if (fault.isPresent()) {
                    throw new PlatformUnavailableException("the answer to an object write was lost", null);
                }
            }
        }
    }
}
