package org.tamarackline.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tamarackline.fleet.NodeCapacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests what a node learns of its machine from the platform's settings file. */
class SettingsReaderTest {

    private static final String SETTINGS = """
            nodeName = "n"
            ip = "127.0.0.1"
            zone = "a"
            internalPorts = [7720,7735]
            [bindAddrs]
            frontend = "127.0.0.1:8161"
            readiness = "127.0.0.1:8167"
            [bounds]
            graceS = 6
            [platform]
            address = "127.0.0.1:8169"
            """;

    private static NodeCapacity capacity(String limits) throws PlatformSettingsException, JsonProcessingException {
        return SettingsReader.decode(new ObjectMapper(new TomlFactory()).readTree(SETTINGS + limits))
                .node()
                .capacity();
    }

    /** Guards against a node that takes the share of a fast processor for the same as that of a slow one. */
    @Test
    void processorTimeIsTheShareOfAllCores() throws Exception {
        assertThat(capacity("[limits]\ncpuShare = 0.75\ncores = 2\nmemoryMb = 682\nmaxFds = 8192\n"))
                .isEqualTo(new NodeCapacity(1_500, 682, 8_192));
    }

    @Test
    void capacityIsUnknownWithoutLimits() throws Exception {
        assertThat(capacity("")).isEqualTo(NodeCapacity.UNKNOWN);
    }

    @ParameterizedTest
    @CsvSource({
        "cpuShare = 0, limits.cpuShare",
        "cpuShare = -1, limits.cpuShare",
        "cpuShare = 'x', limits.cpuShare",
    })
    void invalidLimitIsNamed(String share, String name) {
        assertThatThrownBy(() -> capacity("[limits]\n" + share + "\ncores = 2\nmemoryMb = 682\nmaxFds = 8192\n"))
                .isInstanceOf(PlatformSettingsException.class)
                .hasMessageContaining(name);
    }

    @Test
    void missingLimitIsNamed() {
        assertThatThrownBy(() -> capacity("[limits]\ncpuShare = 0.5\ncores = 2\nmaxFds = 8192\n"))
                .isInstanceOf(PlatformSettingsException.class)
                .hasMessageContaining("limits.memoryMb");
    }
}
