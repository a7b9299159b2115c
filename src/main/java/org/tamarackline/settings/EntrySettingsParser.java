package org.tamarackline.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.settings.EntrySettings.ClusterTimes;
import org.tamarackline.settings.EntrySettings.JobLimits;
import org.tamarackline.settings.EntrySettings.RequestLimits;

/**
 * Parses and validates the settings file of an entry node, which is TOML. Reports all violations at once instead of
 * stopping at the first.
 */
public final class EntrySettingsParser {

    /** Minimum length of a credential in characters. */
    public static final int MIN_SECRET_LENGTH = 16;

    /** Maximum length of a credential in characters. */
    public static final int MAX_SECRET_LENGTH = 1_024;

    private static final String ADDRESS_RULE =
            "must be an IPv4 address and a port from 1 to 65535, such as \"10.0.0.5:7400\"";
    private static final String IDENTIFIER_RULE =
            "must be 1 to %d letters, digits, spaces or ._:-, starting with a letter or digit"
                    .formatted(Identifiers.MAX_LENGTH);
    private static final String SECRET_RULE = "must have %d to %d printable ASCII characters without spaces"
            .formatted(MIN_SECRET_LENGTH, MAX_SECRET_LENGTH);
    /** Replaces a value that is not valid while the remaining settings are checked. */
    private static final String PLACEHOLDER = "0";

    private static final int MIN_RENEWALS_PER_LEASE = 3;
    private static final char FIRST_PRINTABLE = '!';
    private static final char LAST_PRINTABLE = '~';

    private final Path directory;
    private final KeyLineFinder lineFinder;
    private final List<SettingsViolation> violations = new ArrayList<>();

    private EntrySettingsParser(Path directory, KeyLineFinder lineFinder) {
        this.directory = directory;
        this.lineFinder = lineFinder;
    }

    /**
     * Reads the settings file {@code file}. Names of credential files in it are relative to its directory.
     *
     * @throws IOException if the file cannot be read
     * @throws SettingsException if the settings are not valid
     */
    public static EntrySettings read(Path file) throws IOException, SettingsException {
        Path directory = file.toAbsolutePath().getParent();
        return parse(file.toString(), Files.readString(file), directory);
    }

    /**
     * Parses the text of a settings file.
     *
     * @param source name of the file for error messages
     * @param directory directory against which names of credential files are resolved
     * @throws SettingsException if the settings are not valid
     */
    public static EntrySettings parse(String source, String toml, Path directory) throws SettingsException {
        JsonNode tree = parseToml(source, toml);
        EntrySettingsParser parser = new EntrySettingsParser(directory, new KeyLineFinder(toml));
        EntrySettings settings = parser.readRoot(tree);
        if (!parser.violations.isEmpty()) {
            throw new SettingsException(source, parser.violations);
        }
        return settings;
    }

    private static JsonNode parseToml(String source, String toml) throws SettingsException {
        try {
            return new TomlMapper().readTree(toml);
        } catch (JacksonException e) {
            JsonLocation location = e.getLocation();
            OptionalInt line = location == null ? OptionalInt.empty() : OptionalInt.of(location.getLineNr());
            // The message of Jackson may quote the line, which may contain a credential.
            throw new SettingsException(
                    source,
                    List.of(new SettingsViolation(
                            "", "", "the file is not valid TOML here; write each setting as key = value", line)));
        }
    }

    private EntrySettings readRoot(JsonNode tree) {
        SettingsTable root = new SettingsTable("", tree, lineFinder, violations);
        NodeId node = new NodeId(orPlaceholder(root.required("node", Addresses::isIpAndPort, ADDRESS_RULE)));
        Region region = new Region(orPlaceholder(root.required("region", Identifiers::isValid, IDENTIFIER_RULE)));
        DataCentre dataCentre =
                new DataCentre(orPlaceholder(root.required("data_centre", Identifiers::isValid, IDENTIFIER_RULE)));
        String callerAddress = root.required("caller_address", Addresses::isIpAndPort, ADDRESS_RULE);
        String operatorAddress = root.required("operator_address", Addresses::isIpAndPort, ADDRESS_RULE);
        String platformUrl = root.required(
                "platform_url", Addresses::isHttpUrl, "must be an HTTP URL such as \"http://10.0.0.2:9000\"");
        List<String> seedPeers = root.list("seed_peers", Addresses::isIpAndPort, ADDRESS_RULE);
        Secret peerKey = requiredSecret(root, "peer_key");
        Secret operatorToken = requiredSecret(root, "operator_token");
        Map<CallerName, Secret> callerTokens = readCallerTokens(root);
        ClusterTimes cluster = readClusterTimes(root.table("cluster"));
        RequestLimits requests = readRequestLimits(root.table("requests"));
        JobLimits jobs = readJobLimits(root.table("jobs"));
        root.reportUnknownKeys();
        checkAddressesDiffer(root, node, callerAddress, operatorAddress);
        checkSeedPeers(root, node, seedPeers);
        return new EntrySettings(
                node,
                region,
                dataCentre,
                callerAddress,
                operatorAddress,
                platformUrl,
                seedPeers.stream().map(NodeId::new).toList(),
                peerKey,
                operatorToken,
                callerTokens,
                cluster,
                requests,
                jobs);
    }

    private ClusterTimes readClusterTimes(SettingsTable table) {
        ClusterTimes defaults = ClusterTimes.defaults();
        ClusterTimes times = new ClusterTimes(
                table.duration("heartbeat_interval_ms", defaults.heartbeatInterval(), ms(50), minutes(1)),
                table.duration("poll_interval_ms", defaults.pollInterval(), ms(50), minutes(1)),
                table.duration("hold_time_ms", defaults.membershipLease(), ms(100), minutes(10)),
                table.duration("take_time_ms", defaults.takeoverTimeout(), ms(100), minutes(20)),
                table.duration("outage_grace_ms", defaults.outageGrace(), ms(1_000), Duration.ofDays(1)),
                table.duration("drift_margin_ms", defaults.driftMargin(), ms(1), minutes(1)),
                table.duration("request_timeout_ms", defaults.requestTimeout(), ms(10), minutes(1)),
                table.duration("rebalance_interval_ms", defaults.rebalanceInterval(), ms(100), minutes(60)),
                table.duration("drain_delay_ms", defaults.drainDelay(), ms(0), minutes(5)),
                table.bool("single_node", defaults.singleNode()));
        table.reportUnknownKeys();
        checkTakeoverTimeout(table, times);
        checkMembershipLease(table, times);
        checkOutageGrace(table, times);
        return times;
    }

    private static void checkTakeoverTimeout(SettingsTable table, ClusterTimes times) {
        Duration ownerStopTime =
                times.membershipLease().plus(times.driftMargin()).plus(times.requestTimeout());
        boolean keysValid = table.areValid("take_time_ms", "hold_time_ms", "drift_margin_ms", "request_timeout_ms");
        if (keysValid && times.takeoverTimeout().compareTo(ownerStopTime) <= 0) {
            table.report(
                    "take_time_ms",
                    millisText(times.takeoverTimeout()),
                    ("must be greater than hold_time_ms + drift_margin_ms + request_timeout_ms = %d ms,"
                                    + " so that the previous owner has stopped relying on its shards")
                            .formatted(ownerStopTime.toMillis()));
        }
    }

    private static void checkMembershipLease(SettingsTable table, ClusterTimes times) {
        Duration longerInterval = times.heartbeatInterval().compareTo(times.pollInterval()) > 0
                ? times.heartbeatInterval()
                : times.pollInterval();
        Duration longestConfirmation = longerInterval.plus(times.requestTimeout());
        boolean keysValid =
                table.areValid("hold_time_ms", "heartbeat_interval_ms", "poll_interval_ms", "request_timeout_ms");
        if (keysValid && times.membershipLease().compareTo(longestConfirmation) <= 0) {
            table.report(
                    "hold_time_ms",
                    millisText(times.membershipLease()),
                    ("must be greater than request_timeout_ms plus the longer of heartbeat_interval_ms and"
                                    + " poll_interval_ms = %d ms, so that one slow response does not isolate the node")
                            .formatted(longestConfirmation.toMillis()));
        }
    }

    private static void checkOutageGrace(SettingsTable table, ClusterTimes times) {
        boolean keysValid = table.areValid("outage_grace_ms", "hold_time_ms");
        if (keysValid && times.outageGrace().compareTo(times.membershipLease()) < 0) {
            table.report(
                    "outage_grace_ms",
                    millisText(times.outageGrace()),
                    "must be at least hold_time_ms = %d ms"
                            .formatted(times.membershipLease().toMillis()));
        }
    }

    private static RequestLimits readRequestLimits(SettingsTable table) {
        RequestLimits defaults = RequestLimits.defaults();
        RequestLimits limits = new RequestLimits(
                table.duration("request_limit_ms", defaults.requestLimit(), ms(100), minutes(10)),
                table.integer("queue_length", defaults.queueLength(), 1, 100_000),
                table.integer("runner_groups", defaults.runnerGroups(), 1, 100),
                table.integer("retry_percent", defaults.retryPercent(), 0, 100),
                table.duration("connect_timeout_ms", defaults.connectTimeout(), ms(10), minutes(1)));
        table.reportUnknownKeys();
        boolean keysValid = table.areValid("request_limit_ms", "connect_timeout_ms");
        if (keysValid && limits.connectTimeout().compareTo(limits.requestLimit()) >= 0) {
            table.report(
                    "connect_timeout_ms",
                    millisText(limits.connectTimeout()),
                    "must be less than request_limit_ms = %d ms"
                            .formatted(limits.requestLimit().toMillis()));
        }
        return limits;
    }

    private static JobLimits readJobLimits(SettingsTable table) {
        JobLimits defaults = JobLimits.defaults();
        JobLimits limits = new JobLimits(
                table.duration("commit_interval_ms", defaults.commitInterval(), ms(10), ms(10_000)),
                table.duration("worker_renewal_interval_ms", defaults.workerRenewalInterval(), ms(50), minutes(5)),
                table.duration("task_lease_ms", defaults.taskLease(), ms(200), minutes(60)),
                table.integer("poison_threshold", defaults.poisonThreshold(), 1, 100),
                table.integer("worker_failure_threshold", defaults.workerFailureThreshold(), 1, 100),
                table.integer("tasks_per_job", defaults.tasksPerJob(), 1, 100_000));
        table.reportUnknownKeys();
        Duration minTaskLease = limits.workerRenewalInterval().multipliedBy(MIN_RENEWALS_PER_LEASE);
        boolean keysValid = table.areValid("task_lease_ms", "worker_renewal_interval_ms");
        if (keysValid && limits.taskLease().compareTo(minTaskLease) <= 0) {
            table.report(
                    "task_lease_ms",
                    millisText(limits.taskLease()),
                    ("must be greater than %d x worker_renewal_interval_ms = %d ms,"
                                    + " so that lost renewals do not stop tasks")
                            .formatted(MIN_RENEWALS_PER_LEASE, minTaskLease.toMillis()));
        }
        return limits;
    }

    private Secret requiredSecret(SettingsTable table, String key) {
        String fileKey = key + "_file";
        Optional<String> inline = table.secret(key);
        Optional<String> fileName = table.fileName(fileKey);
        if (inline.isPresent() && fileName.isPresent()) {
            table.reportSecret(key, "must not be set together with %s; keep only one of them".formatted(fileKey));
            return new Secret(PLACEHOLDER);
        }
        if (fileName.isPresent()) {
            return secretFromFile(table, fileKey, fileName.get());
        }
        if (inline.isPresent()) {
            return checkedSecret(table, key, inline.get());
        }
        if (table.areValid(key, fileKey)) {
            table.report(key, "", "is missing; set %s or %s".formatted(key, fileKey));
        }
        return new Secret(PLACEHOLDER);
    }

    private Map<CallerName, Secret> readCallerTokens(SettingsTable root) {
        Map<CallerName, Secret> tokens = new LinkedHashMap<>();
        SettingsTable inline = root.table("caller_tokens");
        inline.secretsByKey().forEach((name, value) -> {
            if (checkCallerName(inline, name)) {
                tokens.put(new CallerName(name), checkedSecret(inline, name, value));
            }
        });
        SettingsTable files = root.table("caller_token_files");
        for (String name : files.keys()) {
            Optional<String> fileName = files.fileName(name);
            if (fileName.isEmpty() || !checkCallerName(files, name)) {
                continue;
            }
            Secret secret = secretFromFile(files, name, fileName.get());
            if (tokens.put(new CallerName(name), secret) != null) {
                files.report(name, "", "is also in caller_tokens; keep only one of them");
            }
        }
        checkTokensDiffer(root, tokens);
        return tokens;
    }

    private static void checkTokensDiffer(SettingsTable root, Map<CallerName, Secret> tokens) {
        Set<String> seen = new HashSet<>();
        tokens.forEach((caller, token) -> {
            boolean usable = !token.reveal().equals(PLACEHOLDER);
            if (usable && !seen.add(token.reveal())) {
                root.reportSecret(
                        "caller_tokens", "caller \"%s\" has the same token as another caller".formatted(caller));
            }
        });
    }

    private static boolean checkCallerName(SettingsTable table, String name) {
        if (Identifiers.isValid(name)) {
            return true;
        }
        table.report(name, "", "is not a valid caller name; it " + IDENTIFIER_RULE);
        return false;
    }

    private Secret secretFromFile(SettingsTable table, String key, String fileName) {
        try {
            String content = Files.readString(directory.resolve(fileName)).strip();
            return checkedSecret(table, key, content);
        } catch (IOException | InvalidPathException e) {
            table.report(key, "\"" + fileName + "\"", "must be a file that this process can read");
            return new Secret(PLACEHOLDER);
        }
    }

    private static Secret checkedSecret(SettingsTable table, String key, String value) {
        boolean lengthAllowed = value.length() >= MIN_SECRET_LENGTH && value.length() <= MAX_SECRET_LENGTH;
        boolean printable = value.chars().allMatch(c -> c >= FIRST_PRINTABLE && c <= LAST_PRINTABLE);
        if (!lengthAllowed || !printable) {
            table.reportSecret(key, SECRET_RULE);
            return new Secret(PLACEHOLDER);
        }
        return new Secret(value);
    }

    private static void checkAddressesDiffer(
            SettingsTable root, NodeId node, String callerAddress, String operatorAddress) {
        if (!root.areValid("node", "caller_address", "operator_address")) {
            return;
        }
        if (callerAddress.equals(node.value())) {
            root.report("caller_address", callerAddress, "must differ from node, which is the peer address");
        }
        if (operatorAddress.equals(node.value()) || operatorAddress.equals(callerAddress)) {
            root.report("operator_address", operatorAddress, "must differ from node and caller_address");
        }
    }

    private static void checkSeedPeers(SettingsTable root, NodeId node, List<String> seedPeers) {
        if (root.areValid("node", "seed_peers") && seedPeers.contains(node.value())) {
            root.report("seed_peers", node.value(), "must not contain the node itself");
        }
    }

    private static String orPlaceholder(String value) {
        return value.isEmpty() ? PLACEHOLDER : value;
    }

    private static String millisText(Duration duration) {
        return Long.toString(duration.toMillis());
    }

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static Duration minutes(long minutes) {
        return Duration.ofMinutes(minutes);
    }
}
