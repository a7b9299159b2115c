package org.tamarackline.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Resources;

/**
 * Behaviour of a simulated task, decoded from the command in its start request.
 *
 * @param workMs work to do, in milliseconds at full speed
 * @param exitCode exit code with which the task finishes
 * @param used resources that the task uses, which may differ from those it declares
 * @param interferencePercent percentage by which the task slows down each other task on the worker
 */
record SimulatedCommand(long workMs, int exitCode, Resources used, int interferencePercent) {

    /**
     * Parses {@code {"workMs": n}} with the optional fields {@code exitCode}, {@code usedProcessorMillis}, {@code
     * usedMemoryMb} and {@code disturbsPercent}.
     *
     * @throws IllegalArgumentException if {@code workMs} is missing, not an integer, or negative
     */
    static SimulatedCommand parse(JsonNode command, Resources declared) {
        JsonNode workMs = command == null ? null : command.get("workMs");
        if (workMs == null || !workMs.canConvertToLong() || workMs.asLong() < 0) {
            throw new IllegalArgumentException(
                    "command must have \"workMs\", a number of milliseconds that is not negative");
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
