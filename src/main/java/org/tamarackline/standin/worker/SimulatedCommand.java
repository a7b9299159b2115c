package org.tamarackline.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Resources;

/**
 * What a simulated task does.
 *
 * @param workMs work to do, in milliseconds of undisturbed speed
 * @param exitCode exit code at the end
 * @param used resources really used, which may differ from the declared size
 * @param interferencePercent by how much the task slows each task beside it, in percent
 */
record SimulatedCommand(long workMs, int exitCode, Resources used, int interferencePercent) {

    /**
     * Parses {@code {"workMs": n}} with the optional fields {@code exitCode}, {@code usedProcessorMillis}, {@code
     * usedMemoryMb} and {@code disturbsPercent}.
     *
     * @throws IllegalArgumentException if {@code workMs} is missing or negative
     */
    static SimulatedCommand parse(JsonNode command, Resources declared) {
        JsonNode workMs = command == null ? null : command.get("workMs");
        if (workMs == null || !workMs.canConvertToLong() || workMs.asLong() < 0) {
            throw new IllegalArgumentException("command needs \"workMs\", a number of milliseconds from 0");
        }
        Resources used = new Resources(
                command.path("usedProcessorMillis").asLong(declared.processorMillis()),
                command.path("usedMemoryMb").asLong(declared.memoryMb()),
                declared.accelerators());
        return new SimulatedCommand(
                workMs.asLong(),
                command.path("exitCode").asInt(0),
                used,
                command.path("disturbsPercent").asInt(0));
    }
}
