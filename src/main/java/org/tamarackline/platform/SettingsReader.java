package org.tamarackline.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import org.tamarackline.fleet.NodeCapacity;
import org.tamarackline.fleet.NodeSettings;

/** Reads the TOML settings file that the platform writes for a process. */
final class SettingsReader {

    /** Environment variable with the path of the settings file. */
    static final String PATH_VARIABLE = "TAMARACKLINE_BOOT";

    /**
     * Maximum part of the time between stop signal and kill that is kept free for the exit of the process after the drain.
     * The exit took 0.3 s on the bench.
     */
    private static final Duration MAX_EXIT_RESERVE = Duration.ofMillis(1_200);

    /** The same as a fraction of that time, which limits it if the platform kills early. */
    private static final int EXIT_RESERVE_DIVISOR = 5;

    /** Largest limit that is told to other nodes, in whatever unit. */
    private static final int MAX_LIMIT = 999_999_999;

    private SettingsReader() {}

    static PlatformSettings read(Path file) throws PlatformSettingsException {
        JsonNode root;
        try {
            root = new ObjectMapper(new TomlFactory()).readTree(Files.readAllBytes(file));
        } catch (IOException failure) {
            throw new PlatformSettingsException(
                    "settings file %s cannot be read: %s".formatted(file, failure.getMessage()), failure);
        }
        return decode(root);
    }

    static PlatformSettings decode(JsonNode root) throws PlatformSettingsException {
        InetSocketAddress callerAddress = address(root, "/bindAddrs/frontend");
        String ip = text(root, "/ip");
        int peerPort = integer(root, "/internalPorts/0");
        NodeSettings node =
                new NodeSettings(text(root, "/nodeName"), text(root, "/zone"), ip + ":" + peerPort, capacity(root));
        return new PlatformSettings(
                node,
                callerAddress,
                address(root, "/bindAddrs/readiness"),
                new InetSocketAddress(ip, peerPort),
                text(root, "/platform/address"),
                root.at("/advice").asText(""),
                drainTime(root));
    }

    /** Returns the limits of the machine; unknown if the platform does not write any. */
    private static NodeCapacity capacity(JsonNode root) throws PlatformSettingsException {
        if (root.path("limits").isMissingNode()) {
            return NodeCapacity.UNKNOWN;
        }
        // The share is that of a processor which is as fast as this number of cores.
        double cpuMillis = positive(root, "/limits/cpuShare") * positive(root, "/limits/cores") * 1_000;
        return new NodeCapacity(
                limited(cpuMillis),
                limited(positive(root, "/limits/memoryMb")),
                limited(positive(root, "/limits/maxFds")));
    }

    private static int limited(double value) {
        return (int) Math.min(value, MAX_LIMIT);
    }

    private static Duration drainTime(JsonNode root) throws PlatformSettingsException {
        Duration grace = Duration.ofMillis((long) (positive(root, "/bounds/graceS") * 1_000));
        Duration reserve = grace.dividedBy(EXIT_RESERVE_DIVISOR);
        return grace.minus(reserve.compareTo(MAX_EXIT_RESERVE) < 0 ? reserve : MAX_EXIT_RESERVE);
    }

    private static JsonNode required(JsonNode root, String pointer) throws PlatformSettingsException {
        JsonNode value = root.at(pointer);
        if (value.isMissingNode() || value.isNull()) {
            throw new PlatformSettingsException("setting %s is missing; the platform writes it into the settings file"
                    .formatted(settingName(pointer)));
        }
        return value;
    }

    private static String text(JsonNode root, String pointer) throws PlatformSettingsException {
        JsonNode value = required(root, pointer);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new PlatformSettingsException(
                    "setting %s must be a non-empty string, not %s".formatted(settingName(pointer), value));
        }
        return value.textValue();
    }

    private static int integer(JsonNode root, String pointer) throws PlatformSettingsException {
        JsonNode value = required(root, pointer);
        if (!value.isIntegralNumber()) {
            throw new PlatformSettingsException(
                    "setting %s must be an integer, not %s".formatted(settingName(pointer), value));
        }
        return value.intValue();
    }

    private static double positive(JsonNode root, String pointer) throws PlatformSettingsException {
        JsonNode value = required(root, pointer);
        if (!value.isNumber() || !(value.doubleValue() > 0)) {
            throw new PlatformSettingsException(
                    "setting %s must be a number greater than 0, not %s".formatted(settingName(pointer), value));
        }
        return value.doubleValue();
    }

    private static InetSocketAddress address(JsonNode root, String pointer) throws PlatformSettingsException {
        String value = text(root, pointer);
        int colon = value.lastIndexOf(':');
        try {
            return new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException failure) {
            throw new PlatformSettingsException(
                    "setting %s must be an address such as 10.0.0.1:80, not %s".formatted(settingName(pointer), value),
                    failure);
        }
    }

    private static String settingName(String pointer) {
        return pointer.substring(1).replace('/', '.');
    }
}
