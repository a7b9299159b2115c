package org.tamarackline.cli;

import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;
import org.tamarackline.logging.JsonLogging;
import org.tamarackline.logging.LineSink;
import org.tamarackline.platform.PlatformNode;

/** Runs a fleet node on the users' platform until SIGTERM, then drains it. Reloads its settings on SIGHUP. */
final class ServeCommand implements Command {

    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "settings file of the platform (default: taken from the environment)")
    private Path file;

    @Override
    public int run() throws Exception {
        JsonLogging.install(System.out, Map.of());
        Path settingsFile = file == null ? PlatformNode.settingsFile() : file;
        PlatformNode node = PlatformNode.start(settingsFile, new LineSink(System.out), InstantSource.system());
        HangupSignal.onHangup(node::reload);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            node.drain();
                            Runtime.getRuntime().halt(ExitCodes.SUCCESS);
                        },
                        "drain"));
        new CountDownLatch(1).await();
        return ExitCodes.SUCCESS;
    }
}
