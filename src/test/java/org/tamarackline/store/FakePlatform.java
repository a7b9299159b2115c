package org.tamarackline.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.VmRecord;
import org.tamarackline.standin.platform.InMemoryTable;

/**
 * In-memory platform that injects faults. Thread-safe.
 *
 * <p>{@link #objects} returns the object store as a separate object, because its read has the same signature as the
 * table's.
 */
public final class FakePlatform implements TableStore, VmDirectory {

    /** Fault of the next write. */
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

    /** Sets whether every call fails without effect. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Loses the response of one more write, which is applied; the outcome of a transaction is resolved by its token.
     */
    public synchronized void loseNextResponse() {
        nextWriteFaults.add(WriteFault.RESPONSE_LOST);
    }

    /** Applies one more transaction, whose caller gets {@link OutcomeUnknownException}. */
    public synchronized void applyNextWithUnknownOutcome() {
        nextWriteFaults.add(WriteFault.APPLIED_BUT_UNKNOWN);
    }

    /** Drops one more transaction, whose caller gets {@link OutcomeUnknownException}. */
    public synchronized void dropNextWithUnknownOutcome() {
        nextWriteFaults.add(WriteFault.NOT_APPLIED_BUT_UNKNOWN);
    }

    /** Replaces the list of VMs. */
    public synchronized void setVms(List<VmRecord> records) {
        vms.clear();
        vms.addAll(records);
    }

    /** Returns the number of successful reads. */
    public synchronized int reads() {
        return reads;
    }

    /** Returns the number of transactions and object writes received, whether or not they were applied. */
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

    /** Applies a transaction of the test itself; faults for the next writes stay for the code under test. */
    public synchronized void transactWithoutFault(TableTransaction transaction) throws TransactionConflictException {
        table.apply(transaction);
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

    /** Returns the object store, which is subject to the same faults. */
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
                    throw new PlatformUnavailableException("the response to an object write was lost", null);
                }
            }
        }
    }
}
