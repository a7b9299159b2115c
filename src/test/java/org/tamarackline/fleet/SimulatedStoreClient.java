package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.RunnerDescriptor;

/** Access of one node process to the {@link SimulatedStore} and to the directory of runners in it. */
final class SimulatedStoreClient implements RecordStore, PlatformRunnerDirectory {

    private static final Duration WRITE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration FOLLOW_TIMEOUT_MARGIN = Duration.ofSeconds(1);
    private static final int MIN_LATE_MS = 1_500;
    private static final int MAX_LATE_MS = 8_000;

    /** Delays of transactions that are executed late because the writes of a node fail. */
    private static final int MIN_LATE_FAILED_WRITE_MS = 1_000;

    private static final int MAX_LATE_FAILED_WRITE_MS = 6_000;

    /** Connection of a node to the store, which outlives the node's processes. */
    static final class Link {

        private final Random random;
        private final int pageRows;
        private final Map<String, RunnerDescriptor> directory = new TreeMap<>();
        private boolean cut;
        private boolean loseHistory;
        private int silentConnections;
        private boolean silentForTransactions;
        private long silencedNanos = -1;
        private double lostResponses;
        private double lateWrites;
        private double rejections;
        private NodeStore.Writes failure = NodeStore.Writes.ANSWERED;
        private double failureProbability;

        /**
         * Creates a link without faults.
         *
         * @param pageRows maximum number of records in a response
         */
        Link(Random random, int pageRows) {
            this.random = random;
            this.pageRows = pageRows;
        }

        void setCut(boolean next) {
            cut = next;
        }

        boolean cut() {
            return cut;
        }

        /** Returns whether calls of the node fail; connections that have gone silent do not count. */
        boolean disturbed() {
            return cut || lostResponses > 0 || lateWrites > 0 || rejections > 0;
        }

        /** Sets the probabilities of single faults of a call. */
        void setFaultRates(double nextLostResponses, double nextLateWrites, double nextRejections) {
            lostResponses = nextLostResponses;
            lateWrites = nextLateWrites;
            rejections = nextRejections;
        }

        /** Makes further transactions of the node fail in a way with a probability; its other calls are answered. */
        void failWrites(NodeStore.Writes nextFailure, double probability) {
            failure = nextFailure;
            failureProbability = probability;
        }

        /** Ends the failures of the node's transactions. */
        void answerWrites() {
            failure = NodeStore.Writes.ANSWERED;
        }

        boolean failsWrites() {
            return failure != NodeStore.Writes.ANSWERED;
        }

        private NodeStore.Writes nextWrite() {
            return failsWrites() && happens(failureProbability) ? failure : NodeStore.Writes.ANSWERED;
        }

        /** Makes the next read of changes fail because the store has discarded them. */
        void loseHistory() {
            loseHistory = true;
        }

        /**
         * Makes open connections to the store go silent: the next reads that do not open a connection get no response.
         */
        void silenceConnections(int count) {
            silentConnections = count;
        }

        /**
         * Makes open connections to the store go silent: the responses to all calls on their way are lost, and the next
         * reads and transactions that do not open a connection get none.
         *
         * @param idle number of such reads and transactions
         */
        void silenceOpenConnections(int idle, long nowNanos) {
            silentConnections = idle;
            silentForTransactions = true;
            silencedNanos = nowNanos;
        }

        /** Ends the effect of silent connections, because the process that opened them has ended. */
        void closeConnections() {
            silentConnections = 0;
            silentForTransactions = false;
        }

        /** Returns how many open connections are still to go silent. */
        int silentConnections() {
            return silentConnections;
        }

        private boolean takeSilentConnection() {
            return silentConnections > 0 && silentConnections-- > 0;
        }

        /** Returns the directory as the node sees it. */
        Map<String, RunnerDescriptor> directory() {
            return directory;
        }

        private Duration latency() {
            return Duration.ofNanos(3_000_000 + random.nextInt(12_000_000));
        }

        private boolean happens(double probability) {
            return random.nextDouble() < probability;
        }
    }

    private final ManualLoop shared;
    private final EventLoop loop;
    private final SimulatedStore store;
    private final Link link;
    private final StoreClock clock = new StoreClock();

    SimulatedStoreClient(ManualLoop shared, EventLoop loop, SimulatedStore store, Link link) {
        this.shared = shared;
        this.loop = loop;
        this.store = store;
        this.link = link;
    }

    /** One call, which passes on its response or its timeout, whichever comes first. */
    private final class Call<T> {

        private final Consumer<T> callback;
        private final T rejection;
        private final long sentNanos = loop.nowNanos();
        private final long sentAtNanos = shared.nowNanos();
        private final boolean responseLost = link.happens(link.lostResponses);
        private final Duration responseLatency = link.latency();
        private final boolean silent;
        private boolean over;

        Call(boolean silent, Duration timeout, T noResponse, T rejection, Consumer<T> callback) {
            this.silent = silent;
            this.callback = callback;
            this.rejection = rejection;
            loop.schedule(timeout, () -> end(noResponse));
        }

        void send(Runnable execution) {
            boolean lost = silent || link.cut;
            boolean rejected = link.happens(link.rejections);
            shared.schedule(link.latency().plus(store.additionalLatency()), () -> {
                if (lost || link.cut || store.availability() == SimulatedStore.Availability.SILENT) {
                    return;
                }
                if (rejected || store.availability() == SimulatedStore.Availability.REJECTING) {
                    refuse(rejection);
                } else {
                    execution.run();
                }
            });
        }

        void respond(T response) {
            respond(() -> response, true);
        }

        /** Responds without a reading of the store's clock. */
        void refuse(T response) {
            respond(() -> response, false);
        }

        private void respond(Supplier<T> response, boolean withReading) {
            boolean silenced = sentAtNanos <= link.silencedNanos;
            if (responseLost || silenced || link.cut || store.availability() == SimulatedStore.Availability.SILENT) {
                return;
            }
            long readingMs = store.clockMs();
            shared.schedule(
                    responseLatency.plus(store.additionalLatency()),
                    () -> loop.execute(() -> {
                        if (!over && withReading) {
                            clock.addReading(readingMs, sentNanos, loop.nowNanos());
                        }
                        end(response.get());
                    }));
        }

        private void end(T response) {
            if (!over) {
                over = true;
                callback.accept(response);
            }
        }
    }

    @Override
    public StoreClock clock() {
        return clock;
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        transact(link.silentForTransactions && link.takeSilentConnection(), transaction, callback);
    }

    @Override
    public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
        transact(false, transaction, callback);
    }

    private void transact(boolean silent, Transaction transaction, Consumer<TransactionResult> callback) {
        NodeStore.Writes write = link.nextWrite();
        Call<TransactionResult> call = new Call<>(
                silent || write == NodeStore.Writes.LOST,
                WRITE_TIMEOUT,
                new TransactionResult.Unknown("no response"),
                new TransactionResult.NotApplied("status 503"),
                callback);
        boolean late = link.happens(link.lateWrites);
        Duration delay = Duration.ofMillis(MIN_LATE_MS + link.random.nextInt(MAX_LATE_MS - MIN_LATE_MS));
        call.send(() -> {
            if (late) {
                shared.schedule(delay, () -> store.apply(transaction));
            } else {
                execute(transaction, write, call);
            }
        });
    }

    private void execute(Transaction transaction, NodeStore.Writes write, Call<TransactionResult> call) {
        switch (write) {
            case ANSWERED -> call.respond(store.apply(transaction));
            case REFUSED -> call.refuse(new TransactionResult.NotApplied("status 503"));
            case REFUSED_AS_TOO_MANY -> call.refuse(new TransactionResult.NotApplied("status 429", true));
            case ANSWER_LOST -> store.apply(transaction);
            case LATE -> {
                int lateMs = MAX_LATE_FAILED_WRITE_MS - MIN_LATE_FAILED_WRITE_MS;
                Duration delay = Duration.ofMillis(MIN_LATE_FAILED_WRITE_MS + link.random.nextInt(lateMs));
                shared.schedule(delay, () -> store.apply(transaction));
            }
            default -> throw new AssertionError(write);
        }
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        read(link.takeSilentConnection(), table, from, to, callback);
    }

    @Override
    public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
        read(false, table, from, to, callback);
    }

    private void read(boolean silent, Table table, String from, String to, Consumer<ReadResult> callback) {
        Call<ReadResult> call = readCall(silent, READ_TIMEOUT, callback);
        call.send(() -> {
            NavigableMap<String, Entry> rows = store.table(table);
            Map<String, Entry> range = to == null ? rows.tailMap(from, true) : rows.subMap(from, true, to, false);
            List<Entry> entries = range.values().stream().limit(link.pageRows).toList();
            call.respond(new ReadResult.Page(entries, store.version(), entries.size() < range.size()));
        });
    }

    private Call<ReadResult> readCall(boolean silent, Duration timeout, Consumer<ReadResult> callback) {
        return new Call<>(
                silent, timeout, new ReadResult.Failed("no response"), new ReadResult.Failed("status 503"), callback);
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        follow(link.takeSilentConnection(), table, afterVersion, wait, callback);
    }

    @Override
    public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
        follow(false, table, afterVersion, Duration.ZERO, callback);
    }

    private void follow(boolean silent, Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        Call<ReadResult> call = readCall(silent, wait.plus(FOLLOW_TIMEOUT_MARGIN), callback);
        call.send(() -> {
            if (link.loseHistory) {
                link.loseHistory = false;
                call.respond(new ReadResult.HistoryLost());
            } else {
                new Follow(table, afterVersion, call).respondWithin(wait);
            }
        });
    }

    /** A read that the store answers when the table changes or the wait is over. */
    private final class Follow {

        private final Table table;
        private final long afterVersion;
        private final Call<ReadResult> call;
        private boolean answered;

        Follow(Table table, long afterVersion, Call<ReadResult> call) {
            this.table = table;
            this.afterVersion = afterVersion;
            this.call = call;
        }

        void respondWithin(Duration wait) {
            shared.schedule(wait, () -> respond(changes()));
            respondAtChange();
        }

        private List<Entry> changes() {
            return store.changes(table, afterVersion);
        }

        private void respondAtChange() {
            if (answered) {
                return;
            }
            List<Entry> changes = changes();
            if (changes.isEmpty()) {
                store.onNextChange(this::respondAtChange);
            } else {
                respond(changes);
            }
        }

        private void respond(List<Entry> changes) {
            if (answered) {
                return;
            }
            answered = true;
            List<Entry> page = new ArrayList<>(changes);
            long version = store.version();
            boolean truncated = changes.size() > link.pageRows;
            if (truncated) {
                version = changes.get(link.pageRows - 1).version();
                long last = version;
                page.removeIf(entry -> entry.version() > last);
            }
            call.respond(new ReadResult.Page(page, version, truncated));
        }
    }

    @Override
    public void list(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        list(link.takeSilentConnection(), callback);
    }

    @Override
    public void listOnNewConnections(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        list(false, callback);
    }

    private void list(boolean silent, Consumer<Optional<List<RunnerDescriptor>>> callback) {
        Call<Optional<List<RunnerDescriptor>>> call =
                new Call<>(silent, READ_TIMEOUT, Optional.empty(), Optional.empty(), callback);
        call.send(() -> call.respond(Optional.of(List.copyOf(link.directory.values()))));
    }
}
