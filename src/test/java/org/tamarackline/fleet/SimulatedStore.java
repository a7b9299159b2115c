package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The records that all simulated nodes share, with the history of their changes. */
final class SimulatedStore {

    /** Initial time of the store's clock, so that it differs from the nodes' clocks. */
    private static final long CLOCK_START_MS = 5_000_000;

    /** State of the store towards all nodes. */
    enum Availability {
        /** Answers. */
        AVAILABLE,
        /** Refuses all calls without executing them. */
        REJECTING,
        /** Executes and answers no call. */
        SILENT
    }

    private final ManualLoop loop;
    private final boolean checksConditions;
    private Predicate<RecordStore.Entry> hiddenChanges = entry -> false;
    private final Map<RecordStore.Table, TreeMap<String, RecordStore.Entry>> tables =
            new EnumMap<>(RecordStore.Table.class);
    private final List<RecordStore.Entry> history = new ArrayList<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private Availability availability = Availability.AVAILABLE;
    private Duration additionalLatency = Duration.ZERO;
    private Predicate<RecordStore.Write> rejectedWrites = write -> false;
    private UnaryOperator<RecordStore.Write> storedForm = UnaryOperator.identity();
    private long version;

    SimulatedStore(ManualLoop loop, boolean checksConditions) {
        this.loop = loop;
        this.checksConditions = checksConditions;
        for (RecordStore.Table table : RecordStore.Table.values()) {
            tables.put(table, new TreeMap<>());
        }
    }

    Availability availability() {
        return availability;
    }

    void setAvailability(Availability next) {
        availability = next;
    }

    Predicate<RecordStore.Write> rejectedWrites() {
        return rejectedWrites;
    }

    /** Makes the store reject the transactions with such a write, whenever they are sent. */
    void setRejectedWrites(Predicate<RecordStore.Write> next) {
        rejectedWrites = next;
    }

    /** Sets how the store changes the records that it acknowledges. */
    void setStoredForm(UnaryOperator<RecordStore.Write> next) {
        storedForm = next;
    }

    Duration additionalLatency() {
        return additionalLatency;
    }

    void setAdditionalLatency(Duration next) {
        additionalLatency = next;
    }

    long version() {
        return version;
    }

    long clockMs() {
        return CLOCK_START_MS + loop.nowNanos() / 1_000_000;
    }

    NavigableMap<String, RecordStore.Entry> table(RecordStore.Table table) {
        return tables.get(table);
    }

    RecordStore.TransactionResult apply(RecordStore.Transaction transaction) {
        Optional<RecordStore.TransactionResult> rejection =
                transaction.writes().stream().anyMatch(rejectedWrites)
                        ? Optional.of(new RecordStore.TransactionResult.Rejected("status 400"))
                        : StoreLimits.rejection(transaction);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        List<RecordStore.Entry> current = new ArrayList<>();
        boolean conditionsHold = true;
        for (RecordStore.Condition condition : transaction.conditions()) {
            RecordStore.Entry entry = tables.get(condition.table()).get(condition.key());
            long found = entry == null ? 0 : entry.version();
            conditionsHold &= found == condition.version();
            if (entry != null) {
                current.add(entry);
            }
        }
        if (!conditionsHold && checksConditions) {
            return new RecordStore.TransactionResult.Conflict(current);
        }
        version++;
        transaction.writes().stream().map(storedForm).forEach(this::write);
        List<Runnable> listeners = List.copyOf(changeListeners);
        changeListeners.clear();
        listeners.forEach(Runnable::run);
        return new RecordStore.TransactionResult.Applied(version);
    }

    private void write(RecordStore.Write write) {
        TreeMap<String, RecordStore.Entry> rows = tables.get(write.table());
        if (write.value() == null) {
            if (rows.remove(write.key()) != null) {
                history.add(new RecordStore.Entry(write.table(), write.key(), new byte[0], version, true));
            }
            return;
        }
        RecordStore.Entry entry = new RecordStore.Entry(write.table(), write.key(), write.value(), version, false);
        rows.put(write.key(), entry);
        history.add(entry);
    }

    /** Makes the store hide changes from those who follow their table; reads of the table still show them. */
    void hideChanges(Predicate<RecordStore.Entry> hidden) {
        hiddenChanges = hidden;
    }

    /** Returns the changes of a table after a version, oldest first. */
    List<RecordStore.Entry> changes(RecordStore.Table table, long afterVersion) {
        List<RecordStore.Entry> changes = new ArrayList<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).version() > afterVersion; i--) {
            if (history.get(i).table() == table && !hiddenChanges.test(history.get(i))) {
                changes.addFirst(history.get(i));
            }
        }
        return changes;
    }

    /** Runs an action after the next transaction. */
    void onNextChange(Runnable action) {
        changeListeners.add(action);
    }
}
