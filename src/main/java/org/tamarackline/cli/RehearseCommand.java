package org.tamarackline.cli;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;

import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.logging.JsonLogging;
import org.tamarackline.logging.LineSink;
import org.tamarackline.platform.PlatformNode;
import org.tamarackline.standin.fleet.NodeSettingsText;
import org.tamarackline.standin.fleet.StandinCaller;
import org.tamarackline.standin.fleet.StandinFleet;

/** Starts a fleet node with stand-ins, runs one job and stops it, so that the build can archive the loaded classes. */
final class RehearseCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int RUNNERS = 3;
    private static final long TASK_MS = 100;
    private static final String JOB_ID = "00000000000000a1";
    private static final String JOB_BODY =
            "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":10,\"estMs\":100},"
                    + "{\"count\":2,\"cpu\":500,\"memMb\":10,\"estMs\":100,\"after\":[0],\"checkpointed\":true,\"fills\":true}]}";

    @Override
    public int run() throws Exception {
        JsonLogging.install(System.out, Map.of());
        try (StandinFleet fleet = new StandinFleet(RUNNERS, TASK_MS);
                AsyncHttpClient http = new AsyncHttpClient(2)) {
            InetSocketAddress callerAddress = StandinFleet.reserveAddress();
            NodeSettingsText settings = new NodeSettingsText(
                    "rehearsal",
                    callerAddress,
                    StandinFleet.reserveAddress(),
                    StandinFleet.reserveAddress(),
                    fleet.storeAddress());
            Path file = Files.createTempFile("rehearsal", ".toml");
            Files.writeString(file, settings.text());
            PlatformNode node = PlatformNode.start(file, new LineSink(System.out), InstantSource.system());
            HangupSignal.onHangup(node::reload);
            StandinCaller caller = new StandinCaller(http);
            boolean completed =
                    submit(caller, callerAddress) && caller.awaitJobState(callerAddress, JOB_ID, "completed", TIMEOUT);
            caller.send(callerAddress, "DELETE", JOB_ID, null);
            caller.jobState(callerAddress, "");
            node.drain();
            node.kill();
            Files.delete(file);
            return completed ? ExitCodes.SUCCESS : ExitCodes.FAILURE;
        }
    }

    private static boolean submit(StandinCaller caller, InetSocketAddress node) throws InterruptedException {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            if (caller.send(node, "POST", JOB_ID, JOB_BODY) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }
}
