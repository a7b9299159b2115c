package org.tamarackline.entry;

import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;

/** Settings of a node for tests, with ports that the operating system chooses. */
public final class TestSettings {

    public static final String OPERATOR_TOKEN = "operator-token-of-the-test";
    public static final String PEER_KEY = "peer-key-of-the-test-0001";

    private TestSettings() {}

    public static EntrySettings onFreePorts() {
        return new EntrySettings(
                new NodeId("127.0.0.1:7400"),
                new Region("taiwan"),
                new DataCentre("taipei"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "http://127.0.0.1:9000",
                List.of(),
                new Secret(PEER_KEY),
                new Secret(OPERATOR_TOKEN),
                Map.of(),
                EntrySettings.ClusterTimes.defaults(),
                EntrySettings.RequestLimits.defaults(),
                EntrySettings.JobLimits.defaults());
    }
}
